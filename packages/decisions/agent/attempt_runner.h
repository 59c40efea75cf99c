#pragma once

#include "decisions/admission/slot_gate.h"
#include "decisions/keys/attempt_ledger.h"
#include "decisions/keys/key_grants.h"
#include "decisions/streams/response_buffer.h"
#include "decisions/suspects/suspect_registry.h"
#include "decisions/tracing/request_trace.h"
#include "model/effects.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace appleramp {

class configuration_register;
class trace_id_generator;

// Identity of an agent process: read from its settings, with the incarnation of its current start.
struct agent_identity {
    instance_id instance;
    availability_zone_id zone;
    incarnation life = 0;
    endpoint_description endpoint;
    slot_gate_limits limits;
};

// State that the components of agent_reducer share while they handle one event: the event's time, references to the
// components' shared state, and the list to which they append effects.
struct agent_context {
    instant now;
    const agent_identity& identity;
    configuration_register& configuration;
    slot_gate& gate;
    suspect_registry& suspects;
    const std::set<link_number>& entries;
    trace_id_generator& traceIds;
    agent_effects& effects;

    // Appends a message with the sender's incarnation and configuration version to the effects.
    void send(link_number link, link_message message) const;
    // Appends an entry for the decision journal to the effects.
    void recordDecision(decision_kind kind, std::string subject, std::string reason) const;
    // Sends suspect records whose level has risen to all entries.
    void broadcastSuspects() const;
};

// Runs attempts at the endpoint, each at most once, and retains their responses so that frames can be sent again. Works
// with slot_gate, which limits the endpoint's concurrency, and attempt_ledger, which decides whether an attempt may
// start.
class attempt_runner {
public:
    void start(const agent_context& context, link_number link, const start_attempt& message);
    void cancel(const agent_context& context, attempt_id attempt);
    void resume(const agent_context& context, link_number link, const resume_attempt& message);
    void query(const agent_context& context, link_number link, const query_attempt& message);
    void grantKeys(const agent_context& context, link_number link, const request_key_block& message);

    void engineHead(const agent_context& context, const engine_head& event);
    void engineData(const agent_context& context, const engine_data& event);
    void engineEnd(const agent_context& context, const engine_end& event);
    void engineFailed(const agent_context& context, const engine_failed& event);
    // The endpoint's probe report decides whether an attempt that failed while running alone has crashed it.
    void engineProbed(const agent_context& context, const engine_probed& report);

    // Marks the link's repeatable attempts as disconnected; they are cancelled if no entry resumes them in time. Drops
    // its attempts that wait to run alone.
    void linkClosed(const agent_context& context, link_number link);
    // Starts the next attempt that waits to run alone once nothing else runs, and refuses those that can't start: past
    // their deadline, known to crash endpoints, or at an endpoint without open slots.
    void startWaitingAlone(const agent_context& context);
    // Removes responses, attempts and keys that are past their retention; cancels attempts whose entry did not
    // reconnect in time.
    void removeExpired(const agent_context& context);
    std::size_t runningCount() const { return m_byCall.size(); }
    // True if an attempt runs alone or waits to.
    bool needsExclusiveEndpoint() const { return m_aloneCall.has_value() || !m_waitingAlone.empty(); }
    // When an attempt last ended.
    instant lastAttemptEnd() const { return m_lastAttemptEnd; }

private:
    struct waiting_attempt {
        link_number link = 0;
        start_attempt message;
        instant deadline;
    };
    struct retained_attempt {
        link_number link = 0;
        call_number call = 0;
        bool keyed = false;
        std::uint64_t contentHash = 0;
        response_buffer answer;
        request_trace trace;
        std::optional<instant> endedAt;
        // When the link to its entry was lost; empty while connected.
        std::optional<instant> disconnectedAt;
    };

    void callEndpoint(const agent_context& context, link_number link, const start_attempt& message);
    // An attempt that failed while running alone. The next probe report shows whether the endpoint crashed: it is
    // unhealthy or has another boot id.
    struct pending_crash_check {
        engine_failed failure;
        std::string bootId;
        instant failedAt;
    };

    void failAttempt(const agent_context& context, const engine_failed& event);
    bool runsAlone(call_number call) const { return m_aloneCall == call; }
    void cancelDisconnected(const agent_context& context);
    // True if the ledger and the granted keys allow the attempt to start. If not, a refusal or failure has been sent
    // where the entry needs one.
    bool checkMayStart(const agent_context& context, link_number link, const start_attempt& message);
    // Why this agent refuses the request now, apart from keys and free slots; empty if it does not.
    std::optional<refusal> refusalReason(const agent_context& context, const start_attempt& message) const;
    void refuse(const agent_context& context, link_number link, const start_attempt& message, refusal reason);
    // Reports that the agent has no memory of the attempt, so it may have run.
    void sendOutcomeUnknown(const agent_context& context, link_number link, attempt_id attempt) const;
    // Drops the oldest stored responses while they exceed the limit on bytes.
    void evictStoredAnswers();
    retained_attempt* findByCall(call_number call);
    void finishAttempt(const agent_context& context, call_number call, attempt_state outcome, std::string_view spanOutcome);

    attempt_ledger m_ledger;
    key_grants m_keyGrants;
    // Running attempts, and ended ones while their responses are retained.
    std::map<attempt_id, retained_attempt> m_attempts;
    std::map<call_number, attempt_id> m_byCall;
    // Running repeatable attempts whose entry's link was lost.
    std::set<attempt_id> m_disconnected;
    std::deque<waiting_attempt> m_waitingAlone;
    // The call of the attempt that runs alone.
    std::optional<call_number> m_aloneCall;
    std::optional<pending_crash_check> m_crashCheck;
    // Boot id in the endpoint's last healthy report.
    std::string m_bootId;
    call_number m_lastCall = 0;
    // Ended attempts with a key whose responses are stored, oldest first.
    std::deque<attempt_id> m_storedAnswers;
    std::size_t m_storedBytes = 0;
    instant m_lastAttemptEnd;
};

} // namespace appleramp
