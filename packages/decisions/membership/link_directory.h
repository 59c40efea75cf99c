#pragma once

#include "decisions/entry/entry_context.h"

#include <map>
#include <set>

namespace appleramp {

// The links of an entry: opens a link to each agent in the instance list, and identifies each peer by its hello. The
// list may be stale, so only a peer that has sent a hello counts as connected. Registers agents with
// endpoint_directory.
class link_directory {
public:
    void openLinksToAgents(const entry_context& context, const std::vector<listed_instance>& instances);
    void linkOpened(const entry_context& context, const link_opened& event);
    void linkClosed(const entry_context& context, const link_closed& event);
    void helloReceived(const entry_context& context, link_number link, incarnation life, const hello& greeting);

    // Peers that have sent a hello, by link.
    const std::map<link_number, hello>& peers() const { return m_peers; }

private:
    // Agents to which a link is open or being opened.
    std::set<instance_id> m_dialled;
    std::map<link_number, hello> m_peers;
};

} // namespace appleramp
