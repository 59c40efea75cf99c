#pragma once

#include "decisions/entry/entry_context.h"
#include "decisions/keys/caller_keys.h"
#include "model/request.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace appleramp {

struct linked_endpoint;

// The next action of request_router for a request, once an operation on its key has completed.

// The key is bound: send the attempt.
struct dispatch_bound {
};
// The attempt is proven not to have run: place the request again, as a retry if `isRetry` is set and else as a first send.
struct retry_placement {
    bool isRetry = false;
};
// Another attempt holds the key, and its agent has been queried. The request's own attempt is not sent.
struct await_key_holder {
    link_number link = 0;
};
// The request with this key has completed: replay the stored response of this attempt.
struct replay_response {
    attempt_id attempt;
    link_number link = 0;
};
// The queried attempt is still running.
struct attempt_running {
    attempt_id attempt;
    link_number link = 0;
};
struct end_request {
    problem answer;
};
using key_step = std::variant<dispatch_bound, retry_placement, await_key_holder, replay_response, attempt_running, end_request>;

struct key_decision {
    request_number number = 0;
    key_step step;
};

// Manages the idempotency key of each non-repeatable request at this entry. A key is bound in the table before dispatch and
// released only when its attempt is proven not to have run; if another attempt holds it, that attempt's agent is queried.
// A request may end at any time, and a binding whose attempt was never sent is then released. caller_keys writes the rows,
// and request_router carries out the decisions.
class request_keys {
public:
    void add(request_number number, const service_request& request);
    // Binds the key to the attempt at the endpoint.
    void bindKey(const entry_context& context, request_number number, attempt_id attempt, const linked_endpoint& endpoint);
    // Releases the key. Only allowed when the bound attempt is proven not to have run and never to run.
    void release(const entry_context& context, request_number number);
    // True if the key is bound to this attempt for this request.
    bool isBoundTo(request_number number, attempt_id attempt) const;
    // Queries the agent about an attempt that has started or may have started.
    key_decision queryAgent(const entry_context& context, request_number number, attempt_id attempt,
        const linked_endpoint& endpoint);
    // Repeats the query on a new link to the same agent, or queries the agent that runs the bound attempt.
    void repeatQuery(const entry_context& context, request_number number, link_number link);
    void remove(request_number number);

    const idempotency_key& scopedKeyOf(request_number number) const { return m_requests.at(number).key; }
    bool owns(operation_number operation) const { return m_callerKeys.owns(operation); }
    std::optional<key_decision> handleReply(const entry_context& context, const platform_replied& reply);
    // Returns one decision for each request that waits for this report.
    std::vector<key_decision> handleReport(link_number link, const attempt_report& report);

private:
    enum class phase {
        Idle,
        Claiming,
        AwaitingReport,
        Releasing,
    };
    struct keyed_request {
        idempotency_key key;
        std::uint64_t contentHash = 0;
        phase state = phase::Idle;
        key_binding binding;
        row_version version = 0;
        // True while the row is bound to this request's own attempt.
        bool isBound = false;
        link_number link = 0;
        // The request has ended while a write for its key was pending.
        bool abandoned = false;
    };

    std::optional<key_decision> handleResult(const entry_context& context, request_number number, keyed_request& request,
        const key_result& result);
    std::optional<key_decision> handleBound(const entry_context& context, request_number number, keyed_request& request);
    key_decision queryHolder(const entry_context& context, request_number number, keyed_request& request);
    void awaitReport(request_number number, keyed_request& request);
    void releaseAbandoned(const entry_context& context, request_number number, const key_result& result);

    std::map<request_number, keyed_request> m_requests;
    // The requests that wait for a report on each attempt.
    std::map<attempt_id, std::vector<request_number>> m_awaitingReport;
    caller_keys m_callerKeys;
};

} // namespace appleramp
