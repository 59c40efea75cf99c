#include "decisions/membership/link_directory.h"

#include "decisions/placement/endpoint_directory.h"

namespace appleramp {

void link_directory::openLinksToAgents(const entry_context& context, const std::vector<listed_instance>& instances)
{
    for (const auto& listed : instances) {
        if (listed.role != process_role::Agent || m_dialled.contains(listed.instance))
            continue;
        m_dialled.insert(listed.instance);
        context.effects.emplace_back(open_link { listed.instance, listed.linkAddress });
    }
}

void link_directory::linkOpened(const entry_context& context, const link_opened& event)
{
    hello greeting;
    greeting.instance = context.identity.instance;
    greeting.role = process_role::Entry;
    greeting.zone = context.identity.zone;
    context.send(event.link, greeting);
}

void link_directory::linkClosed(const entry_context& context, const link_closed& event)
{
    if (!event.dialled.empty())
        m_dialled.erase(event.dialled);
    const auto peer = m_peers.find(event.link);
    if (peer == m_peers.end())
        return;
    context.endpoints.remove(event.link);
    context.recordDecision(decision_kind::Membership, peer->second.instance.str(), "link closed");
    m_peers.erase(peer);
}

void link_directory::helloReceived(const entry_context& context, link_number link, incarnation life, const hello& greeting)
{
    m_peers[link] = greeting;
    if (greeting.endpoint)
        context.endpoints.add(link, life, greeting);
    context.recordDecision(decision_kind::Membership, greeting.instance.str(), "link open");
}

} // namespace appleramp
