#pragma once

#include "decisions/admission/slot_gate.h"
#include "decisions/keys/attempt_ledger.h"
#include "decisions/keys/key_grants.h"
#include "decisions/streams/answer_buffer.h"
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

// Who an agent is, from its settings and its start.
struct agent_identity {
    instance_id instance;
    availability_zone_id zone;
    incarnation life = 0;
    endpoint_description endpoint;
    slot_gate_limits limits;
};

// What the parts of an agent's reducer share while they handle one event.
struct agent_context {
    instant now;
    const agent_identity& self;
    configuration_register& configuration;
    slot_gate& gate;
    suspect_registry& suspects;
    const std::set<link_number>& entries;
    trace_id_generator& traceIds;
    agent_effects& effects;

    void send(link_number link, link_message message) const;
    void decide(decision_kind kind, std::string subject, std::string reason) const;
    // Tells all entries which contents' records have risen.
    void sendSuspects() const;
};

// Runs attempts at the endpoint: each at most once, each with its answer kept for sending again. Works with slot_gate,
// which says whether the endpoint bears one more, and attempt_ledger, which says whether the attempt may start.
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
    // The endpoint's own report settles whether an attempt that ran alone has crashed it.
    void engineProbed(const agent_context& context, const engine_probed& report);

    // The link is gone: what may be repeated and is not resumed in time is cancelled.
    void linkClosed(const agent_context& context, link_number link);
    // Starts what waits to run alone once nothing else runs, and lets go what has waited too long.
    void startAlone(const agent_context& context);
    // Forgets answers and attempts that are past their retention.
    void forgetOld(const agent_context& context);
    std::size_t running() const { return m_byCall.size(); }
    // True if an attempt waits to run alone or does.
    bool isReserved() const { return m_alone.has_value() || !m_waitingAlone.empty(); }
    // When the last attempt ended.
    instant lastEnd() const { return m_lastEnd; }

private:
    struct waiting_attempt {
        link_number link = 0;
        start_attempt message;
        instant deadline;
    };
    struct kept_attempt {
        link_number link = 0;
        call_number call = 0;
        bool keyed = false;
        std::uint64_t contentHash = 0;
        answer_buffer answer;
        request_trace trace;
        std::optional<instant> ended;
        // Set while the link is gone.
        std::optional<instant> abandoned;
    };

    void begin(const agent_context& context, link_number link, const start_attempt& message);
    // An attempt that ran alone when its call broke: the verdict awaits the endpoint's next report.
    struct pending_verdict {
        engine_failed failure;
        std::string bootId;
        instant at;
    };

    void finishFailed(const agent_context& context, const engine_failed& event);
    bool runsAlone(call_number call) const { return m_alone == call; }
    void cancelAbandoned(const agent_context& context);
    // True if the ledger and the granted keys leave it open; if not, the answer has been sent.
    bool mayStillStart(const agent_context& context, link_number link, const start_attempt& message);
    std::optional<refusal> reasonToRefuse(const agent_context& context, const start_attempt& message) const;
    void refuse(const agent_context& context, link_number link, const start_attempt& message, refusal reason);
    void tellUnknown(const agent_context& context, link_number link, attempt_id attempt) const;
    void boundAnswers();
    kept_attempt* findByCall(call_number call);
    void end(const agent_context& context, call_number call, attempt_state outcome, std::string_view spanOutcome);

    attempt_ledger m_ledger;
    key_grants m_grants;
    std::map<attempt_id, kept_attempt> m_attempts;
    std::map<call_number, attempt_id> m_byCall;
    std::set<attempt_id> m_abandoned;
    std::deque<waiting_attempt> m_waitingAlone;
    std::optional<call_number> m_alone;
    std::optional<pending_verdict> m_verdict;
    std::string m_bootId;
    call_number m_lastCall = 0;
    // Keyed attempts that have ended, oldest first, while their answers are kept.
    std::deque<attempt_id> m_storedAnswers;
    std::size_t m_storedBytes = 0;
    instant m_lastEnd;
};

} // namespace appleramp
