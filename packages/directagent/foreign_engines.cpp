#include "directagent/foreign_engines.h"

#include "observe/line_log.h"
#include "runtime/process_clock.h"

#include <optional>
#include <utility>

namespace appleramp {

foreign_engines::foreign_engines(boost::asio::io_context& loop, const platform_adapter& platform, line_log& log, reading_handler onReading)
    : m_loop(loop)
    , m_platform(platform)
    , m_log(log)
    , m_onReading(std::move(onReading))
{
}

engine_link* foreign_engines::idleLink(std::uint32_t rank, const std::string& address)
{
    if (address.empty()) {
        m_log.write(suspendAwareNow(), "foreign_engine_unknown", {}, { { "rank", std::to_string(rank) } });
        return nullptr;
    }
    auto& link = m_links[rank];
    if (!link || link->address() != address)
        link = std::make_unique<engine_link>(m_loop, address);
    return link->isBusy() ? nullptr : link.get();
}

void foreign_engines::read(std::uint32_t rank, const std::string& address)
{
    engine_link* const link = idleLink(rank, address);
    if (link == nullptr)
        return;
    link->exchange({ m_platform.reportRequest(address), {} }, engineReadTimeout, [this, rank](const auto& answer) {
        const auto report = answer && answer->head.status == 200 ? m_platform.readReport(answer->body) : std::nullopt;
        m_log.write(suspendAwareNow(), "foreign_read", {},
            { { "rank", std::to_string(rank) }, { "status", answer ? std::to_string(answer->head.status) : "none" },
                { "armed_pass", report ? std::to_string(report->rank.armedPass.value_or(0)) : "" },
                { "held_pass", report ? std::to_string(report->rank.heldPass.value_or(0)) : "" } });
        if (report)
            m_onReading(*report);
    });
}

void foreign_engines::order(const send_silent_rank_order& order, const std::string& address)
{
    engine_link* const link = idleLink(order.rank, address);
    if (link == nullptr)
        return;
    link->exchange(m_platform.orderRequest(address, order.order), engineOrderTimeout,
        [this, rank = order.rank, kind = order.order.kind, pass = order.order.pass](const auto& answer) {
            m_log.write(suspendAwareNow(), "foreign_order", {},
                { { "rank", std::to_string(rank) }, { "order", std::string(nameOf(kind)) }, { "pass", std::to_string(pass) },
                    { "status", answer ? std::to_string(answer->head.status) : "none" } });
        });
}

} // namespace appleramp
