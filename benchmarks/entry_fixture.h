#pragma once

#include "decisions/entry/entry_reducer.h"

#include <cstdint>
#include <string>

namespace appleramp {

// An entry's reducer with a number of linked agents, driven in virtual time.
class entry_fixture {
public:
    static constexpr std::uint32_t slotsPerEndpoint = 1U << 20U;

    // Half of the endpoints are in the entry's zone.
    explicit entry_fixture(std::uint64_t endpoints);

    entry_effects apply(entry_event_body body);
    entry_effects receive(link_number link, link_message message);
    void advance(duration time) { m_now += time; }

    void link(std::uint64_t endpoint);
    void grantSlots(std::uint64_t endpoint, std::uint32_t slots);
    // Accepts changes until the configuration has this version: one exception each.
    void addExceptions(std::uint64_t count);

    // A repeatable request of some team; its attempt is what the entry sent, its number the last.
    start_attempt begin();
    // Every frame of a short answer to the attempt.
    void finish(const start_attempt& started);
    void begin(std::uint64_t requests);

    entry_reducer& reducer() { return m_reducer; }

private:
    entry_reducer m_reducer;
    instant m_now { std::chrono::hours(1) };
    request_number m_lastRequest = 0;
    std::uint64_t m_grantSequence = 0;
    link_number m_startedOn = 0;
};

service_request benchmarkRequest();
accepted_change exceptionChange(configuration_version version);

} // namespace appleramp
