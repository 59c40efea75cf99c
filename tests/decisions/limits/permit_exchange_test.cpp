#include "decisions/forwarding/forwarding_reducer.h"
#include "decisions/limits/limit_world.h"

#include <criterion/criterion.h>

#include <optional>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 10ms;
// Long enough for several turns of the limit of one request per second.
constexpr duration playTime = 20s;

// One of two entries before the only endpoint of a service, which takes one request per second.
class limited_entry {
public:
    limited_entry()
        : m_reducer(now, settings())
    {
        handle(entry_count_read { now, 2, 1, 0, { "entry-0", "entry-1" } });
        handle(configuration_read { now, now, limitedServiceConfiguration() });
        handle(registry_read { now, { { endpoint_id("i-1"), limitedService, "10.0.0.1:80", availability_zone_id("a"), 12, false, {}, 1 } } });
        handle(crash_table_read { now, true, {}, {} });
        handle(endpoint_limits_told { now, { { endpoint_id("i-1"), 1, 1.0, false, {}, {} } } });
    }

    void request(request_number number)
    {
        caller_request caller;
        caller.host = "a.example";
        caller.path = "/read/x";
        caller.sendId = "s" + std::to_string(number);
        caller.timeout = 8s;
        caller.contentHash = number;
        handle(request_arrived { now, number, caller });
    }

    void handle(const forwarding_event& event)
    {
        for (const forwarding_effect& effect : m_reducer.handle(event)) {
            if (std::holds_alternative<send_attempt>(effect))
                sentAt.push_back(now);
            else if (const auto* const ask = std::get_if<ask_permit>(&effect); ask && !asked)
                asked = ask->question;
        }
    }

    instant now { 10s };
    std::vector<instant> sentAt;
    // The first question to the other entry.
    std::optional<permit_question> asked;

private:
    static forwarding_settings settings()
    {
        forwarding_settings result;
        result.instance = "entry-0";
        return result;
    }

    forwarding_reducer m_reducer;
};

} // namespace

// Guards against an answer that arrives twice and allows two requests in a turn that was lent once.
Test(permit_exchange, an_answer_that_comes_twice_allows_one_request)
{
    limited_entry entry;
    request_number number = 0;
    // Several callers wait all the time; the second answer arrives with the first.
    for (const instant end = entry.now + playTime; entry.now < end; entry.now += step) {
        if (number < 400 && entry.now.time_since_epoch() % 100ms == duration::zero())
            entry.request(++number);
        if (const auto question = std::exchange(entry.asked, std::nullopt)) {
            entry.handle(permit_answered { entry.now, { *question, true } });
            entry.handle(permit_answered { entry.now, { *question, true } });
        }
        for (request_number waiting = 1; waiting <= number; ++waiting)
            entry.handle(service_wait_ended { entry.now, waiting });
    }
    // All turns are this entry's now, its own and the ones that were lent.
    cr_assert_leq(entry.sentAt.size(), static_cast<std::size_t>(playTime / 1s) + 1, "%zu", entry.sentAt.size());
    cr_assert_geq(entry.sentAt.size(), static_cast<std::size_t>(playTime / 1s) / 2, "%zu", entry.sentAt.size());
}
