#pragma once

#include "decisions/forwarding/admission_gate.h"
#include "decisions/forwarding/brief_outage.h"
#include "decisions/forwarding/crash_suspects.h"
#include "decisions/forwarding/endpoint_fleet.h"
#include "decisions/forwarding/entry_peers.h"
#include "decisions/forwarding/forwarding_effects.h"
#include "decisions/forwarding/forwarding_events.h"
#include "decisions/forwarding/freshness_lease.h"
#include "decisions/forwarding/repeat_allowance.h"
#include "decisions/forwarding/route_table.h"
#include "decisions/forwarding/stream_pace.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace appleramp {

struct forwarding_settings {
    freshness_settings freshness;
    repeat_settings repeats;
    fleet_settings fleet;
    peer_settings peers;
    availability_zone_id zone;
    // Longest pause of a stream that is still on time, for routes that do not say.
    duration defaultPause = std::chrono::milliseconds(200);
    std::uint64_t seed = 1;
};

// Decides for an entry that forwards to endpoints itself: which route, whether, where, whether again, and what to answer.
//
// State and event give a new state and effects; there is no clock, I/O or thread. The bytes of answers pass it by.
class forwarding_reducer {
public:
    forwarding_reducer(instant startedAt, forwarding_settings settings);

    forwarding_effects handle(const forwarding_event& event);

    // True while requests of teams can be served.
    bool isReady(instant now) const;
    configuration_version configurationVersion() const { return m_routes ? m_routes->version() : 0; }
    std::optional<duration> configurationAge(instant now) const { return m_freshness.age(now); }
    const route_table* routes() const { return m_routes.get(); }
    const entry_peers& peers() const { return m_peers; }
    const endpoint_fleet& fleet() const { return m_fleet; }
    std::size_t requestsInFlight() const { return m_requests.size(); }

private:
    struct request_state {
        caller_request caller;
        // Keeps the route alive when a newer configuration comes.
        std::shared_ptr<const route_table> table;
        const route* taken = nullptr;
        service_id service;
        team_id team;
        std::uint32_t urgencyRank = 0;
        instant arrivedAt;
        instant deadline;
        std::uint32_t sends = 0;
        std::vector<endpoint_id> tried;
        endpoint_id current;
        instant sentAt;
        // When it has waited enough for its service to come back.
        instant waitsUntil;
        // An earlier attempt may have run.
        bool mayHaveRun = false;
    };

    void on(const request_arrived& event);
    void on(const attempt_ended& event);
    void on(const attempt_answered& event);
    void on(const stream_advanced& event);
    void on(const wait_over& event);
    void on(const forwarded_caller_left& event);
    void on(const deadline_passed& event);
    void on(const configuration_confirmed& event);
    void on(const zones_out_changed& event);
    void on(const endpoint_listed& event);
    void on(const endpoint_unlisted& event);
    void on(const endpoints_read& event);
    void on(const registry_access_changed& event);
    void on(const endpoint_load_heard& event);
    void on(const entry_heard& event);
    void on(const breakdown_heard& event);
    void on(const entries_listed& event);
    void on(const time_passed_by& event);

    // Fills in route and team, or refuses.
    bool admit(instant now, request_number number, request_state& request);
    void place(instant now, request_number number, request_state& request);
    // The service turns all away and may be back soon: orders to wait, and returns true.
    bool waitsForService(instant now, request_number number, request_state& request);
    // When to come back, where the service's streams stand still or are too slow to bear one more.
    std::optional<duration> heldOff(instant now, const request_state& request);
    void send(instant now, request_number number, request_state& request, const placement& place);
    bool mayGoOn(instant now, request_state& request, const attempt_ended& event);
    void concludeEnded(request_number number, const request_state& request, const attempt_ended& event);
    void refuse(request_number number, const request_state& request, refusal_reason reason, std::optional<duration> retryAfter);
    void leaveSlowEndpoint(instant now, const endpoint_id& slow, double pace);
    void noteEnding(instant now, const request_state& request, attempt_ending ending);
    void endpointDown(instant now, const endpoint_id& endpoint);
    double draw();
    duration soon();
    duration later();

    forwarding_settings m_settings;
    std::shared_ptr<const route_table> m_routes;
    freshness_lease m_freshness;
    repeat_allowance m_repeats;
    crash_suspects m_suspects;
    endpoint_fleet m_fleet;
    entry_peers m_peers;
    std::map<service_id, stream_pace> m_paces;
    std::map<service_id, brief_outage> m_outages;
    std::map<request_number, request_state> m_requests;
    std::mt19937_64 m_random;
    // Of the event that is handled.
    instant m_now;
    forwarding_effects m_effects;
};

} // namespace appleramp
