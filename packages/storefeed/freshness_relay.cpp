#include "storefeed/freshness_relay.h"

#include <algorithm>
#include <utility>

namespace appleramp {

freshness_relay::freshness_relay(std::string self)
    : m_self(std::move(self))
{
}

void freshness_relay::notePeer(instant now, const std::string& instance) { m_peers[instance] = now; }

std::optional<std::string> freshness_relay::reader(instant now) const
{
    const auto first = std::find_if(m_peers.begin(), m_peers.end(), [&](const auto& peer) { return now - peer.second < peerSilence; });
    if (first == m_peers.end() || m_self < first->first)
        return std::nullopt;
    return first->first;
}

std::optional<std::string> freshness_relay::askDue(instant now)
{
    auto target = reader(now);
    if (!target || now - m_askedAt < askInterval)
        return std::nullopt;
    m_askedAt = now;
    return target;
}

void freshness_relay::noteAnswer(instant now, const freshness_answer& answer)
{
    // This process can't have asked at a time that its clock has not reached yet.
    if (answer.askedAt > now)
        return;
    for (std::size_t table = 0; table < answer.tables.size(); ++table) {
        const confirmation heard { answer.tables[table].digest, answer.askedAt - answer.tables[table].age };
        confirmation& known = m_tables[table];
        // Answers may arrive out of order; the newest confirmation is kept.
        if (heard.heldAt >= known.heldAt)
            known = heard;
    }
}

std::optional<instant> freshness_relay::heldAt(instant now, std::size_t table, std::uint64_t digest) const
{
    const auto found = m_tables.find(table);
    const bool isUsable = found != m_tables.end() && found->second.digest == digest && now - found->second.heldAt <= validFor;
    return isUsable ? std::optional(found->second.heldAt) : std::nullopt;
}

} // namespace appleramp
