#pragma once

#include "decisions/admission/fair_queue.h"
#include "decisions/admission/turnover_meter.h"
#include "decisions/entry/entry_context.h"
#include "decisions/keys/issued_key.h"
#include "decisions/keys/request_keys.h"
#include "decisions/placement/demand_planner.h"
#include "decisions/retries/backoff.h"
#include "decisions/retries/retry_budget.h"
#include "decisions/streams/answer_assembler.h"
#include "decisions/tracing/request_trace.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace appleramp {

// Carries each request from its arrival to its one final answer: place, bind the key, dispatch, pass the answer on,
// retry where that is safe. Works with endpoint_directory for places, request_keys for the right to run, fair_queue for
// the order of those that wait and retry_budget for further sends.
class request_router {
public:
    explicit request_router(std::uint64_t seed)
        : m_backoff(seed)
    {
    }

    void received(const entry_context& context, const request_received& event);
    void callerLeft(const entry_context& context, request_number number);

    void refused(const entry_context& context, link_number link, const attempt_refused& message);
    void failed(const entry_context& context, link_number link, const attempt_failed& message);
    void reported(const entry_context& context, link_number link, const attempt_report& message);
    void answered(const entry_context& context, const response_head& frame);
    void answered(const entry_context& context, const response_body& frame);
    void answered(const entry_context& context, const response_end& frame);

    void linkClosed(const entry_context& context, link_number link);
    // An agent has greeted: attempts that ran there when its link was lost go on.
    void agentGreeted(const entry_context& context, link_number link);
    // Places waiting requests where slots have become free.
    void drain(const entry_context& context);
    // Ends what is past its time.
    void expire(const entry_context& context);

    bool ownsOperation(operation_number operation) const { return m_keys.owns(operation); }
    void platformReplied(const entry_context& context, const platform_replied& reply);

    std::size_t size() const { return m_requests.size(); }
    std::size_t waiting() const;
    // Requests that wait for a slot, by service.
    waiting_counts waitingByService() const;

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
        // Waits until it may be sent again.
        BackingOff,
        // Waits to run alone, as its content may crash endpoints.
        Suspected,
        // The link to the agent is gone; the attempt may live on there.
        Relinking,
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
        instance_id agent;
        incarnation agentLife = 0;
        bool holdsSlot = false;
        bool alone = false;
        std::uint32_t sends = 0;
        std::uint32_t placements = 0;
        // An attempt was started and is not proven to have begun nothing.
        bool mayHaveRun = false;
        instant queuedAt;
        // Until when the link to the agent may come back.
        instant relinksUntil;
        instant lastFrame;
        std::set<link_number> excluded;
        answer_assembler answer;
        bool headOut = false;
        bool resumeAsked = false;

        bool isOrder() const { return keyed || issued.has_value(); }
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
    // Sends the request to the best endpoint with a free slot; false if there is none.
    bool tryPlace(const entry_context& context, routed_request& request);
    void enqueue(const entry_context& context, routed_request& request);
    // False if the request, or another in its place, must be refused at once.
    bool hasRoom(const entry_context& context, const routed_request& request);
    duration maxQueueWait(const entry_context& context, const routed_request& request) const;
    void leaveQueues(const routed_request& request);
    void drainQueue(const entry_context& context, const service_id& service);
    void placeSuspects(const entry_context& context);
    void endBackoffs(const entry_context& context);
    void shedLate(const entry_context& context);
    void askAgain(const entry_context& context);
    // Sends the request again after a wait, within the budgets.
    void retry(const entry_context& context, routed_request& request, problem otherwise);
    void recordPlacing(const entry_context& context, const routed_request& request) const;
    void queryOrResume(const entry_context& context, routed_request& request);
    problem busy(const entry_context& context, const routed_request& request) const;
    void dispatch(const entry_context& context, routed_request& request, link_number link);
    void start(const entry_context& context, routed_request& request);
    void returnSlot(const entry_context& context, routed_request& request);
    void requeue(const entry_context& context, routed_request& request);
    void follow(const entry_context& context, const key_decision& decision);
    bool answers(attempt_id attempt, const routed_request& request) const;
    // The request's outcome now depends on the agent at this link.
    static void follows(const entry_context& context, routed_request& request, link_number link);
    // The attempt's frames no longer answer this request.
    void disown(routed_request& request);
    void passOn(const entry_context& context, routed_request& request);
    // Ends the request with an error: a problem, or an abort if the head is out.
    void fail(const entry_context& context, request_number number, problem answer);
    void forget(const entry_context& context, request_number number, std::string_view outcome);
    void endAttempt(const entry_context& context, routed_request& request, std::string_view outcome);
    execution outcomeIfUnsent(const routed_request& request) const;

    struct service_queue {
        fair_queue queue;
        turnover_meter turnover;
    };

    std::map<request_number, routed_request> m_requests;
    // The requests that an attempt's frames answer: its sender's, and repeated sends of the same key.
    std::map<attempt_id, std::set<request_number>> m_byAttempt;
    std::map<service_id, service_queue> m_queues;
    std::set<std::pair<instant, request_number>> m_deadlines;
    std::set<std::pair<instant, request_number>> m_backingOff;
    // Requests in order of when they entered a queue.
    std::set<std::pair<instant, request_number>> m_queuedSince;
    std::deque<request_number> m_suspects;
    std::optional<request_number> m_runsAlone;
    retry_budget m_budget;
    backoff m_backoff;
    instant m_nextAskAgain;
    request_keys m_keys;
    std::uint64_t m_lastAttempt = 0;
};

} // namespace appleramp
