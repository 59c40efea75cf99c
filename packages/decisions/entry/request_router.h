#pragma once

#include "decisions/admission/fair_queue.h"
#include "decisions/admission/queue_wait_estimator.h"
#include "decisions/entry/entry_context.h"
#include "decisions/keys/issued_key.h"
#include "decisions/keys/request_keys.h"
#include "decisions/placement/demand_planner.h"
#include "decisions/retries/backoff.h"
#include "decisions/retries/retry_budget.h"
#include "decisions/streams/response_assembler.h"
#include "decisions/tracing/request_trace.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace appleramp {

// Manages each request from its arrival to its single final response: chooses an endpoint, binds the idempotency key,
// sends the attempt to the endpoint's agent, forwards the response and retries where that is safe. Works with
// endpoint_directory for free slots, request_keys for the exclusive right to run a key, fair_queue for the order of
// waiting requests and retry_budget for the limit on retries.
class request_router {
public:
    explicit request_router(std::uint64_t seed)
        : m_backoff(seed)
    {
    }

    void requestReceived(const entry_context& context, const request_received& event);
    void callerLeft(const entry_context& context, request_number number);

    void attemptRefused(const entry_context& context, link_number link, const attempt_refused& message);
    void attemptFailed(const entry_context& context, link_number link, const attempt_failed& message);
    void attemptReported(const entry_context& context, link_number link, const attempt_report& message);
    void responseFrameReceived(const entry_context& context, const response_head& frame);
    void responseFrameReceived(const entry_context& context, const response_body& frame);
    void responseFrameReceived(const entry_context& context, const response_end& frame);

    void linkClosed(const entry_context& context, link_number link);
    // An agent has connected: resumes the attempts that ran there when its previous link was lost, or fails them if the
    // agent has restarted since.
    void agentConnected(const entry_context& context, link_number link);
    // Rejects requests that have waited too long, ends backoffs that have elapsed and places waiting requests on free
    // slots.
    void placeWaiting(const entry_context& context);
    // Fails requests that are past their deadline and asks again for frames of stalled responses.
    void expireRequests(const entry_context& context);

    bool ownsOperation(operation_number operation) const { return m_keys.owns(operation); }
    void platformReplied(const entry_context& context, const platform_replied& reply);

    std::size_t size() const { return m_requests.size(); }
    std::size_t waiting() const;
    // Requests that wait for a slot, by service.
    queued_counts waitingByService() const;

private:
    enum class phase {
        Queued,
        // The key is being bound in the table; the slot is already taken.
        BindingKey,
        Running,
        // An agent was asked for the state of an attempt: of another one that holds the key, or of the request's own
        // after its link was lost.
        QueryingAgent,
        // The attempt is proven not to have run; its key binding is being removed from the table.
        ReleasingKey,
        // Waits for the backoff before a retry.
        BackingOff,
        // Waits to run as the only request of an endpoint, because its content is suspected of crashing endpoints.
        WaitingToRunAlone,
        // The link to the agent is lost; the attempt may still be running there.
        Reconnecting,
    };

    struct routed_request {
        request_number number = 0;
        service_request request;
        // Set when the request is admitted.
        std::optional<request_trace> trace;
        instant deadline;
        phase state = phase::Queued;
        // True if the caller's own idempotency key must be bound in the table before the attempt is sent.
        bool needsKeyBinding = false;
        // Set if the key was issued by an agent, which is then the only one that may run the request.
        std::optional<issued_key> issuedKey;
        attempt_id attempt;
        link_number link = 0;
        instance_id agent;
        incarnation agentLife = 0;
        bool holdsSlot = false;
        // The attempt is to be the only one at its endpoint.
        bool runsAlone = false;
        // Attempts sent to an agent, without those that the agent refused.
        std::uint32_t sendCount = 0;
        // Placements after an attempt that was proven not to have run.
        std::uint32_t placementCount = 0;
        // An attempt was sent, and there is no proof that it did not run.
        bool mayHaveRun = false;
        // When the request entered its queue. While BackingOff or Reconnecting: when that wait ends.
        instant queuedAt;
        // The request fails if the agent has not reconnected by then.
        instant reconnectDeadline;
        instant lastFrameAt;
        // Links not to choose for the next attempt: an earlier one was refused, failed or lost there.
        std::set<link_number> excludedLinks;
        response_assembler answer;
        // The response's status and headers have gone to the caller, so the request can no longer be retried.
        bool headSent = false;
        // The agent was asked to send missing frames again.
        bool resumeRequested = false;

        bool isNonRepeatable() const { return needsKeyBinding || issuedKey.has_value(); }
    };

    struct key_step_visitor;

    // The request that sent the attempt over this link, if the attempt is still running.
    routed_request* findSender(attempt_id attempt, link_number link);
    template <typename Frame>
    void addFrame(const entry_context& context, const Frame& frame);
    // Checks key, service and capacity. Replies with an error and returns false if the request can't be taken.
    bool admit(const entry_context& context, const request_received& event, bool repeatable,
        const request_trace& trace);
    // Sends the request to an endpoint if a slot is free and nothing is queued before it; queues it otherwise. Fails it
    // if its content is known to crash endpoints or its issuing agent was replaced.
    void place(const entry_context& context, routed_request& request);
    // The link of the endpoint that should run the request; empty if none has a free slot.
    std::optional<link_number> chooseLink(const entry_context& context, const routed_request& request) const;
    void handleFailure(const entry_context& context, routed_request& request, const attempt_failed& message);
    void handleKeyRefusal(const entry_context& context, routed_request& request, const attempt_refused& message);
    // Sends the request to the best endpoint with a free slot; returns false if there is none.
    bool tryPlace(const entry_context& context, routed_request& request);
    void enqueue(const entry_context& context, routed_request& request);
    // True if the request may be queued. If it would wait too long, rejects a queued request of lower urgency to make
    // room; returns false if there is none.
    bool makeQueueRoom(const entry_context& context, const routed_request& request);
    duration maxQueueWait(const entry_context& context, const routed_request& request) const;
    void removeFromQueues(const routed_request& request);
    void placeQueued(const entry_context& context, const service_id& service);
    // Sends the first suspected request to an endpoint that can run it alone; one at a time from each entry.
    void placeNextSuspect(const entry_context& context);
    void endBackoffs(const entry_context& context);
    // Rejects queued requests that have waited longer than maxQueueWait().
    void shedOverdue(const entry_context& context);
    void resumeStalledAttempts(const entry_context& context);
    // Schedules a retry after a backoff; fails the request with `otherwise` if the retry limit, its deadline or the
    // retry budget does not allow one.
    void retry(const entry_context& context, routed_request& request, problem otherwise);
    // The backoff before a retry; nothing if none is allowed.
    std::optional<duration> takeRetry(const entry_context& context, const routed_request& request);
    // Gives the attempt up for another one after the backoff.
    void scheduleRetry(const entry_context& context, routed_request& request, duration wait);
    void recordPlacement(const entry_context& context, const routed_request& request) const;
    // After a reconnect, asks the agent for the attempt's state or for the missing frames.
    void queryOrResume(const entry_context& context, routed_request& request);
    problem noCapacityProblem(const entry_context& context, const routed_request& request) const;
    // Takes a slot of the endpoint for a new attempt, then binds the key or sends the attempt at once.
    void dispatch(const entry_context& context, routed_request& request, link_number link);
    void sendAttempt(const entry_context& context, routed_request& request);
    void returnSlot(const entry_context& context, routed_request& request);
    // Places a request whose attempt is proven not to have run.
    void requeue(const entry_context& context, routed_request& request);
    void applyKeyDecision(const entry_context& context, const key_decision& decision);
    // True if the attempt's response frames are forwarded to this request's caller.
    bool receivesFramesOf(attempt_id attempt, const routed_request& request) const;
    // Records the agent at this link as the one that decides the request's outcome.
    static void trackAgent(const entry_context& context, routed_request& request, link_number link);
    // Stops forwarding the attempt's response frames to this request's caller.
    void detachFromAttempt(routed_request& request);
    void forwardFrames(const entry_context& context, routed_request& request);
    // Ends the request with an error: a problem response, or an aborted response if its head was already sent.
    void fail(const entry_context& context, request_number number, problem answer);
    // Ends the request's spans and removes all its state.
    void finishRequest(const entry_context& context, request_number number, std::string_view outcome);
    // Ends the span of the open attempt, if there is one.
    void endAttempt(const entry_context& context, routed_request& request, std::string_view outcome);
    // What to report about execution when the request fails.
    execution failureOutcome(const routed_request& request) const;

    struct service_queue {
        fair_queue queue;
        queue_wait_estimator waitEstimator;
    };

    std::map<request_number, routed_request> m_requests;
    // Requests that get an attempt's response frames: the one that sent it and later requests with the same key.
    std::map<attempt_id, std::set<request_number>> m_requestsByAttempt;
    std::map<service_id, service_queue> m_queues;
    std::set<std::pair<instant, request_number>> m_deadlines;
    // Ends of the waits of requests that are BackingOff or Reconnecting.
    std::set<std::pair<instant, request_number>> m_waitDeadlines;
    // Queued requests, by the time when they entered their queue.
    std::set<std::pair<instant, request_number>> m_requestsByQueueTime;
    // Suspected requests that wait to run alone, in order of arrival.
    std::deque<request_number> m_waitingSuspects;
    std::optional<request_number> m_requestRunningAlone;
    retry_budget m_retryBudget;
    backoff m_backoff;
    instant m_nextStallCheck;
    request_keys m_keys;
    std::uint64_t m_lastAttemptNumber = 0;
};

} // namespace appleramp
