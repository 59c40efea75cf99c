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

// What request_router is to do with a request after a step on its key.

// The binding stands: send the attempt.
struct dispatch_bound {
};
// The attempt is proven not to have run: place the request anew, as a further send or as if for the first time.
struct place_again {
    bool isRetry = false;
};
// Another attempt holds the key; its agent has been asked. The own attempt will not be sent.
struct await_holder {
    link_number link = 0;
};
// The key's order is complete: its stored answer comes from this attempt.
struct attach_attempt {
    attempt_id attempt;
    link_number link = 0;
};
// The attempt that was asked after is still running.
struct attempt_running {
    attempt_id attempt;
    link_number link = 0;
};
struct end_request {
    problem answer;
};
using key_step = std::variant<dispatch_bound, place_again, await_holder, attach_attempt, attempt_running, end_request>;

struct key_decision {
    request_number number = 0;
    key_step step;
};

// The key of each non-repeatable request at this entry: bound in the table before dispatch, freed on proof, and where
// another attempt holds it, its agent is asked. Works with caller_keys, which writes the rows, and request_router,
// which follows the decisions. A request may end at any time: a binding that was never sent is then freed.
class request_keys {
public:
    void add(request_number number, const service_request& request);
    // Binds the key to the attempt at the endpoint.
    void claim(const entry_context& context, request_number number, attempt_id attempt, const linked_endpoint& endpoint);
    // Frees the key. Only with the proof that the bound attempt has not run and never will.
    void release(const entry_context& context, request_number number);
    // True if the key is bound to this attempt for this request.
    bool holds(request_number number, attempt_id attempt) const;
    // Asks the agent of an attempt that has started or may have.
    key_decision ask(const entry_context& context, request_number number, attempt_id attempt,
        const linked_endpoint& endpoint);
    // Asks again on a new link to the agent that was asked, or that runs the bound attempt.
    void askAgain(const entry_context& context, request_number number, link_number link);
    void forget(request_number number);

    const idempotency_key& scopedKeyOf(request_number number) const { return m_requests.at(number).key; }
    bool owns(operation_number operation) const { return m_table.owns(operation); }
    std::optional<key_decision> replied(const entry_context& context, const platform_replied& reply);
    // One decision for each request that waits for this report.
    std::vector<key_decision> reported(link_number link, const attempt_report& report);

private:
    enum class phase {
        Idle,
        Claiming,
        Asking,
        Releasing,
    };
    struct keyed_request {
        idempotency_key key;
        std::uint64_t contentHash = 0;
        phase state = phase::Idle;
        key_binding binding;
        row_version version = 0;
        // True while the row names the own attempt.
        bool isBound = false;
        link_number link = 0;
        // The request has ended while its claim was on the way.
        bool abandoned = false;
    };

    std::optional<key_decision> resolve(const entry_context& context, request_number number, keyed_request& request,
        const key_result& result);
    std::optional<key_decision> bound(const entry_context& context, request_number number, keyed_request& request);
    key_decision askHolder(const entry_context& context, request_number number, keyed_request& request);
    void await(request_number number, keyed_request& request);
    void freeAbandoned(const entry_context& context, request_number number, const key_result& result);

    std::map<request_number, keyed_request> m_requests;
    // Requests that wait for the report on an attempt.
    std::map<attempt_id, std::vector<request_number>> m_asking;
    caller_keys m_table;
};

} // namespace appleramp
