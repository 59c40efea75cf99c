#include "storefeed/freshness_relay.h"

#include <algorithm>
#include <utility>

namespace appleramp {

freshness_relay::freshness_relay(std::string self)
    : m_self(std::move(self))
{
}

void freshness_relay::onPeerHeard(instant now, const std::string& instance) { m_peersHeardAt[instance] = now; }

std::optional<std::string> freshness_relay::designatedReader(instant now) const
{
    if (m_preferred == m_self && !m_preferred.empty())
        return std::nullopt;
    if (const auto preferred = m_peersHeardAt.find(m_preferred); preferred != m_peersHeardAt.end() && now - preferred->second < peerTimeout)
        return m_preferred;
    const auto first = std::find_if(m_peersHeardAt.begin(), m_peersHeardAt.end(), [&](const auto& peer) { return now - peer.second < peerTimeout; });
    if (first == m_peersHeardAt.end() || m_self < first->first)
        return std::nullopt;
    return first->first;
}

std::vector<std::string> freshness_relay::heardPeers(instant now) const
{
    std::vector<std::string> names;
    for (const auto& [name, heardAt] : m_peersHeardAt) {
        if (now - heardAt < peerTimeout)
            names.push_back(name);
    }
    return names;
}

std::optional<std::string> freshness_relay::readerToQuery(instant now)
{
    auto target = designatedReader(now);
    if (!target || now - m_queriedAt < queryInterval)
        return std::nullopt;
    m_queriedAt = now;
    return target;
}

void freshness_relay::onAnswer(instant now, const freshness_answer& answer)
{
    // This process can't have asked at a time that its clock has not reached yet.
    if (answer.askedAt > now)
        return;
    for (std::size_t table = 0; table < answer.tables.size(); ++table) {
        const confirmation heard { answer.tables[table].digest, answer.askedAt - answer.tables[table].age };
        // No read was sent at a time that this process's clock has not reached yet.
        if (heard.currentAsOf > now)
            continue;
        confirmation& known = m_confirmations[table];
        // Answers may arrive out of order; the newest confirmation is kept.
        if (heard.currentAsOf >= known.currentAsOf)
            known = heard;
    }
}

std::optional<instant> freshness_relay::currentAsOf(instant now, std::size_t table, std::uint64_t digest) const
{
    const auto found = m_confirmations.find(table);
    const bool isUsable = found != m_confirmations.end() && found->second.digest == digest && now - found->second.currentAsOf <= confirmationLifetime;
    return isUsable ? std::optional(found->second.currentAsOf) : std::nullopt;
}

} // namespace appleramp
