#include "decisions/forwarding/forwarding_reducer.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const service_id drafts("drafts");
constexpr duration callerTimeout = 8s;
constexpr double limitPerSecond = 2;

routing_configuration configuration()
{
    route drafting;
    drafting.name = "drafting";
    drafting.host = "a.example";
    drafting.prefix = "/draft/";
    drafting.kind = route_kind::Stream;
    drafting.resumable = true;
    drafting.services = { { drafts, 1 } };
    drafting.timeout = callerTimeout;
    drafting.latencyTarget = 500ms;
    drafting.maxAttempts = 2;
    drafting.isPublic = true;
    routing_configuration result;
    result.version = 1;
    result.routes = { drafting };
    return result;
}

// The only entry before two endpoints, each of which takes two requests a second.
class entry_before_limited_endpoints {
public:
    entry_before_limited_endpoints()
        : m_reducer(instant {}, settings())
    {
        handle(entry_count_read { now, 1, 0, 0, { settings().instance } });
        handle(configuration_read { now, now, configuration() });
        handle(registry_read { now, { record("1"), record("2") } });
        handle(endpoint_limits_told { now, { { endpoint_id("d1"), 0, limitPerSecond, false, 1s, 1s }, { endpoint_id("d2"), 0, limitPerSecond, false, 1s, 1s } } });
    }

    void handle(const forwarding_event& event) { m_effects = m_reducer.handle(event); }

    request_number request()
    {
        caller_request caller;
        caller.host = "a.example";
        caller.path = "/draft/x";
        caller.sendId = "s" + std::to_string(++m_number);
        caller.timeout = callerTimeout;
        caller.contentHash = m_number;
        handle(request_arrived { now, m_number, caller });
        return m_number;
    }

    // Sends requests until no endpoint takes a further one; returns that one, which waits.
    request_number requestUntilOneWaits()
    {
        constexpr int mostRequests = 10;
        for (int count = 0; count < mostRequests; ++count) {
            const request_number number = request();
            if (!has<send_attempt>())
                return number;
        }
        cr_assert(false, "no request waits");
        return 0;
    }

    void wakeUntilSent(request_number number)
    {
        while (!has<send_attempt>()) {
            const auto until = waitsUntil();
            cr_assert(until.has_value(), "the request neither waits nor is sent");
            now = *until;
            handle(service_wait_ended { now, number });
        }
    }

    template <typename Effect>
    bool has() const
    {
        return std::any_of(m_effects.begin(), m_effects.end(), [](const auto& each) { return std::holds_alternative<Effect>(each); });
    }

    std::optional<instant> waitsUntil() const
    {
        const auto found = std::find_if(m_effects.begin(), m_effects.end(), [](const auto& each) { return std::holds_alternative<wait_for_service>(each); });
        return found == m_effects.end() ? std::nullopt : std::optional(std::get<wait_for_service>(*found).until);
    }

    instant now { 20s };

private:
    static forwarding_settings settings()
    {
        forwarding_settings result;
        result.instance = "e1";
        return result;
    }

    static endpoint_record record(const std::string& name)
    {
        return { endpoint_id("d" + name), drafts, "10.0.0.1:" + name, availability_zone_id("a"), 12, false, {} };
    }

    forwarding_reducer m_reducer;
    request_number m_number = 0;
    forwarding_effects m_effects;
};

} // namespace

// Guards against begun streams that are broken off although an endpoint would take them within a second (LOST): the time that a request may
// wait was counted from before its first attempt, which had run for longer than that.
Test(forwarding_waits, a_stream_that_waited_before_it_ran_may_wait_again)
{
    entry_before_limited_endpoints entry;
    const request_number stream = entry.requestUntilOneWaits();
    entry.wakeUntilSent(stream);
    entry.handle(stream_advanced { entry.now, stream, std::nullopt });
    for (int event = 0; event < 30; ++event) {
        entry.now += 100ms;
        entry.handle(configuration_read { entry.now, entry.now, std::nullopt });
        entry.handle(stream_advanced { entry.now, stream, 100ms });
    }
    const request_number other = entry.requestUntilOneWaits();
    entry.handle(caller_disconnected { entry.now, other });
    entry.handle(attempt_ended { entry.now, stream, attempt_ending::TruncatedAnswer, true, {} });
    cr_assert(!entry.has<abort_answer>());
    cr_assert(!entry.has<refuse_request>());
    cr_assert(entry.waitsUntil().has_value());
    entry.wakeUntilSent(stream);
}
