#pragma once

#include "decisions/admission/slot_gate.h"
#include "decisions/keys/attempt_ledger.h"
#include "decisions/keys/key_grants.h"
#include "decisions/streams/answer_buffer.h"
#include "decisions/tracing/request_trace.h"
#include "model/effects.h"

#include <deque>
#include <map>
#include <optional>

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
    trace_id_generator& traceIds;
    agent_effects& effects;

    void send(link_number link, link_message message) const;
    void decide(decision_kind kind, std::string subject, std::string reason) const;
};

// Runs attempts at the endpoint: each at most once, each with its answer kept for sending again. Works with slot_gate,
// which says whether the endpoint bears one more, and attempt_ledger and key_grants, which say whether the attempt may
// start. Of a keyed attempt it never claims "not run" without a record that keeps it from starting later.
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

    // Forgets answers and attempts that are past their retention.
    void forgetOld(const agent_context& context);
    std::size_t running() const { return m_byCall.size(); }

private:
    struct kept_attempt {
        link_number link = 0;
        call_number call = 0;
        bool keyed = false;
        answer_buffer answer;
        request_trace trace;
        std::optional<instant> ended;
    };

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
    call_number m_lastCall = 0;
    // Keyed attempts that have ended, oldest first, while their answers are kept.
    std::deque<attempt_id> m_storedAnswers;
    std::size_t m_storedBytes = 0;
};

} // namespace appleramp
