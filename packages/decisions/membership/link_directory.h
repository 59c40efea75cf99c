#pragma once

#include "decisions/entry/entry_context.h"

#include <map>
#include <set>

namespace appleramp {

// Keeps an entry's links: dials what the instance list shows and learns from each peer's greeting who it is. The list
// gives candidates, the links give the truth. Works with endpoint_directory, which holds the agents among the peers.
class link_directory {
public:
    void listed(const entry_context& context, const std::vector<listed_instance>& instances);
    void opened(const entry_context& context, const link_opened& event);
    void closed(const entry_context& context, const link_closed& event);
    void greeted(const entry_context& context, link_number link, incarnation life, const hello& greeting);

    const std::map<link_number, hello>& peers() const { return m_peers; }

private:
    std::set<instance_id> m_dialled;
    std::map<link_number, hello> m_peers;
};

} // namespace appleramp
