#include "directentry/stop_report.h"

#include "decisions/forwarding/durations.h"
#include "directentry/caller_exchange.h"
#include "observe/line_log.h"

#include <cstddef>
#include <string>

namespace appleramp {

namespace {

// The line of the stop itself counts all of them.
constexpr std::size_t maxRequestsLogged = 64;

} // namespace

void logCutRequests(line_log& log, instant now, const std::map<request_number, std::shared_ptr<caller_exchange>>& exchanges)
{
    std::size_t logged = 0;
    for (const auto& [number, exchange] : exchanges) {
        if (++logged > maxRequestsLogged)
            return;
        log.write(now, "cut_at_stop", exchange->sendId(),
            { { "stage", std::string(nameOf(exchange->stage())) }, { "endpoint", exchange->endpoint().str() },
                { "after_ms", millisecondsText(exchange->age(now)) } });
    }
}

} // namespace appleramp
