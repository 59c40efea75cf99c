#pragma once

#include "decisions/forwarding/forwarding_reducer.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace appleramp::tests {

using namespace std::chrono_literals;

inline const service_id drafts("drafts");
inline const service_id ledger("ledger");

inline route routeOf(const std::string& prefix, route_kind kind, const service_id& service, std::uint32_t attempts)
{
    route result;
    result.name = prefix;
    result.host = "a.example";
    result.prefix = prefix;
    result.kind = kind;
    result.resumable = kind == route_kind::Stream;
    result.services = { { service, 1 } };
    result.timeout = 8s;
    result.latencyTarget = 500ms;
    result.maxAttempts = attempts;
    return result;
}

inline routing_configuration configurationOf(configuration_version version)
{
    routing_configuration configuration;
    configuration.version = version;
    configuration.routes = { routeOf("/draft/", route_kind::Stream, drafts, 2),
        routeOf("/post/", route_kind::NonRepeatable, ledger, 1), routeOf("/read/", route_kind::Idempotent, ledger, 2) };
    configuration.teams = std::vector<team> { { team_id("t1"), { "key" }, {} } };
    return configuration;
}

inline endpoint_record endpoint(const std::string& name, const service_id& service)
{
    return { endpoint_id(name), service, "10.0.0.1:" + name, availability_zone_id("a"), 12, false, {} };
}

// An entry at second 10 that knows a configuration and two endpoints of each service.
class entry {
public:
    entry()
        : m_reducer(instant {}, {})
    {
        handle(entry_count_read { now, 1 });
        handle(configuration_read { now, now, configurationOf(1) });
        handle(registry_read { now,
            { endpoint("d1", drafts), endpoint("d2", drafts), endpoint("l1", ledger), endpoint("l2", ledger) } });
    }

    void handle(const forwarding_event& event) { m_effects = m_reducer.handle(event); }

    void request(const std::string& path, const std::string& key = "key")
    {
        caller_request caller;
        caller.host = "a.example";
        caller.path = path;
        caller.sendId = "s1";
        caller.apiKey = key;
        caller.timeout = 8s;
        caller.contentHash = 77;
        handle(request_arrived { now, ++m_number, caller });
    }

    void reportLoad(std::uint32_t running, std::uint32_t waiting)
    {
        for (const char* name : { "d1", "d2" })
            handle(endpoint_load_received { now, { endpoint(name, drafts).address, running, waiting, 1.0, true } });
    }

    // Sends this many events to the stream of the latest request, each after the pause.
    void streamEvents(duration pause, int events)
    {
        for (int event = 0; event < events; ++event) {
            now += pause;
            handle(configuration_read { now, now, std::nullopt });
            handle(stream_advanced { now, m_number, event == 0 ? std::nullopt : std::optional(pause) });
        }
    }

    // Starts this many streams and returns how many were sent to an endpoint.
    int countAdmitted(int requests)
    {
        int admitted = 0;
        for (int request = 0; request < requests; ++request) {
            this->request("/draft/x");
            if (effect<send_attempt>() == nullptr)
                continue;
            ++admitted;
            handle(caller_disconnected { now, m_number });
        }
        return admitted;
    }

    void rejectWithPause(duration pause) { handle(attempt_ended { now, m_number, attempt_ending::Rejected, false, pause }); }

    void endAttempt(attempt_ending ending, bool begun = false) { handle(attempt_ended { now, m_number, ending, begun, {} }); }

    template <typename Effect>
    const Effect* effect() const
    {
        const auto found = std::find_if(m_effects.begin(), m_effects.end(), [](const auto& each) { return std::holds_alternative<Effect>(each); });
        return found == m_effects.end() ? nullptr : &std::get<Effect>(*found);
    }

    // The inputs of the latest event's line of that name.
    std::map<std::string_view, std::string> logged(std::string_view what) const
    {
        std::map<std::string_view, std::string> inputs;
        for (const forwarding_effect& effect : m_effects) {
            if (const auto* const line = std::get_if<log_decision>(&effect); line != nullptr && line->what == what)
                inputs.insert(line->inputs.begin(), line->inputs.end());
        }
        return inputs;
    }

    bool refusedWith(refusal_reason reason) const
    {
        const auto* const refusal = effect<refuse_request>();
        return refusal != nullptr && refusal->reason == reason;
    }

    // The latest event cancelled the request's attempt, sent it, refused it or broke its answer off.
    bool hasTouched(request_number request) const
    {
        return std::any_of(m_effects.begin(), m_effects.end(), [request](const forwarding_effect& effect) {
            const auto concerns = [request](const auto* concrete) { return concrete != nullptr && concrete->request == request; };
            return concerns(std::get_if<cancel_forwarded_request>(&effect)) || concerns(std::get_if<send_attempt>(&effect))
                || concerns(std::get_if<refuse_request>(&effect)) || concerns(std::get_if<abort_answer>(&effect));
        });
    }

    // Lets requests fail until one is no longer sent again.
    void useUpRetries(const std::string& path)
    {
        constexpr int mostRequests = 200;
        for (int count = 0; count < mostRequests; ++count) {
            request(path);
            endAttempt(attempt_ending::FailureAnswer);
            if (effect<send_attempt>() == nullptr)
                return;
            endAttempt(attempt_ending::FailureAnswer);
        }
        cr_assert(false, "the retry budget does not end");
    }

    const forwarding_reducer& reducer() const { return m_reducer; }
    request_number number() const { return m_number; }

    instant now { 10s };

private:
    forwarding_reducer m_reducer;
    request_number m_number = 0;
    forwarding_effects m_effects;
};

} // namespace appleramp::tests
