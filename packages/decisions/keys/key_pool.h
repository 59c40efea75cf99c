#pragma once

#include "decisions/entry/entry_context.h"
#include "model/messages.h"

#include <deque>
#include <map>

namespace appleramp {

// Issues keys to callers from the blocks that agents have granted to this entry, without the table service.
// endpoint_directory names the endpoints of a service; key_grants at the agent grants the blocks.
class key_pool {
public:
    void requestKey(const entry_context& context, const keys_requested& request);
    void addBlock(const entry_context& context, link_number link, const grant_key_block& block);
    void linkClosed(link_number link) { m_blocks.erase(link); }
    void callerLeft(request_number number);
    // Rejects the requests for which no agent has granted a block in time.
    void rejectOverdue(const entry_context& context);

private:
    struct key_block {
        std::uint64_t next = 0;
        std::uint64_t end = 0;
        // On the agent's clock; part of the key's text.
        instant expires;
        // On this entry's clock, counted from receipt. Keys are issued only in the first half of the block's lifetime.
        instant useUntil;
        duration lifetime {};
        bool refillRequested = false;
    };
    struct waiting_request {
        request_number number = 0;
        service_id service;
        instant deadline;
    };

    bool issueFromBlocks(const entry_context& context, request_number number, const service_id& service);
    void requestBlock(const entry_context& context, link_number link);
    void replyNoKey(const entry_context& context, request_number number) const;

    std::map<link_number, key_block> m_blocks;
    std::deque<waiting_request> m_waiting;
    // Round-robin counter over a service's endpoints.
    std::uint64_t m_nextEndpoint = 0;
};

} // namespace appleramp
