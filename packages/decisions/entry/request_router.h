#pragma once

#include "decisions/entry/entry_context.h"
#include "decisions/keys/issued_key.h"
#include "decisions/keys/request_keys.h"
#include "decisions/streams/answer_assembler.h"
#include "decisions/tracing/request_trace.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace appleramp {

// Carries each request from its arrival to its one final answer: place, bind the key, dispatch, pass the answer on,
// retry where that is safe. Works with endpoint_directory for places and request_keys for the right to run.
class request_router {
public:
    void received(const entry_context& context, const request_received& event);
    void callerLeft(const entry_context& context, request_number number);

    void refused(const entry_context& context, link_number link, const attempt_refused& message);
    void failed(const entry_context& context, link_number link, const attempt_failed& message);
    void reported(const entry_context& context, link_number link, const attempt_report& message);
    void answered(const entry_context& context, const response_head& frame);
    void answered(const entry_context& context, const response_body& frame);
    void answered(const entry_context& context, const response_end& frame);

    void linkClosed(const entry_context& context, link_number link);
    // Places waiting requests where slots have become free.
    void drain(const entry_context& context);
    // Ends what is past its time.
    void expire(const entry_context& context);

    bool ownsOperation(operation_number operation) const { return m_keys.owns(operation); }
    void platformReplied(const entry_context& context, const platform_replied& reply);

    std::size_t size() const { return m_requests.size(); }
    std::size_t waiting() const { return m_queue.size(); }

private:
    enum class phase {
        Queued,
        // The key is being bound; the slot is held.
        Claiming,
        Running,
        // Another attempt holds the key, and its agent has been asked what became of it.
        Asking,
        // The attempt was refused with proof; the key is being freed.
        Releasing,
    };

    struct routed_request {
        request_number number = 0;
        service_request request;
        // Set when the request is accepted.
        std::optional<request_trace> trace;
        instant deadline;
        phase state = phase::Queued;
        // True if the caller's key must be bound before dispatch.
        bool keyed = false;
        // Set if the key names the one agent that may run the request.
        std::optional<issued_key> issued;
        attempt_id attempt;
        link_number link = 0;
        bool holdsSlot = false;
        std::uint32_t sends = 0;
        std::set<link_number> excluded;
        answer_assembler answer;
        bool headOut = false;
        bool resumeAsked = false;
    };

    struct key_step_visitor;

    // The request that sent the attempt, if it is still running.
    routed_request* findSender(attempt_id attempt, link_number link);
    template <typename Frame>
    void addFrame(const entry_context& context, const Frame& frame);
    bool accept(const entry_context& context, const request_received& event, bool repeatable,
        const request_trace& trace);
    void place(const entry_context& context, routed_request& request);
    // The link where the request should go now, if there is one.
    std::optional<link_number> choose(const entry_context& context, const routed_request& request) const;
    void attemptFailed(const entry_context& context, routed_request& request, const attempt_failed& message);
    void refusedForKey(const entry_context& context, routed_request& request, const attempt_refused& message);
    void dispatch(const entry_context& context, routed_request& request, link_number link);
    void start(const entry_context& context, routed_request& request);
    void returnSlot(const entry_context& context, routed_request& request);
    void requeue(const entry_context& context, routed_request& request);
    void follow(const entry_context& context, const key_decision& decision);
    // The attempt's frames no longer answer this request.
    void disown(routed_request& request);
    void passOn(const entry_context& context, routed_request& request);
    // Ends the request with an error: a problem, or an abort if the head is out.
    void fail(const entry_context& context, request_number number, problem answer);
    void forget(const entry_context& context, request_number number, std::string_view outcome);
    void endAttempt(const entry_context& context, routed_request& request, std::string_view outcome);
    execution outcomeIfUnsent(const routed_request& request) const;

    std::map<request_number, routed_request> m_requests;
    // The requests that an attempt's frames answer: its sender's, and repeated sends of the same key.
    std::map<attempt_id, std::set<request_number>> m_byAttempt;
    std::deque<request_number> m_queue;
    request_keys m_keys;
    std::uint64_t m_lastAttempt = 0;
};

} // namespace appleramp
