#pragma once

#include "decisions/entry/entry_context.h"
#include "model/messages.h"

#include <deque>
#include <map>

namespace appleramp {

// Hands out issued keys to callers from the blocks that agents have granted to this entry, without the table service.
// Works with endpoint_directory for who serves a service, and key_grants at the agent.
class key_pool {
public:
    void requested(const entry_context& context, const keys_requested& request);
    void granted(const entry_context& context, link_number link, const grant_key_block& block);
    void linkClosed(link_number link) { m_blocks.erase(link); }
    void callerLeft(request_number number);
    // Ends the requests that no agent has answered in time.
    void expire(const entry_context& context);

private:
    struct held_block {
        std::uint64_t next = 0;
        std::uint64_t end = 0;
        // By the agent's clock, for the key's text.
        instant expires;
        // By this entry's clock, counted from the receipt: keys are handed out only in the block's first half.
        instant useUntil;
        duration lifetime {};
        bool asked = false;
    };
    struct waiting_request {
        request_number number = 0;
        service_id service;
        instant deadline;
    };

    bool answer(const entry_context& context, request_number number, const service_id& service);
    void refill(const entry_context& context, link_number link);
    void refuse(const entry_context& context, request_number number) const;

    std::map<link_number, held_block> m_blocks;
    std::deque<waiting_request> m_waiting;
    // Spreads keys over a service's endpoints.
    std::uint64_t m_turn = 0;
};

} // namespace appleramp
