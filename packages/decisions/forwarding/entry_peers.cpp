#include "decisions/forwarding/entry_peers.h"

#include "decisions/membership/rendezvous.h"

#include <algorithm>
#include <span>
#include <string_view>

namespace appleramp {

namespace {

// Entries that answer give different orders, so that callers that read only a part spread over all entries.
void shuffleByAnsweringEntry(std::string_view answering, std::span<const entry_presence*> entries)
{
    const auto score = [answering](const entry_presence* entry) { return rendezvousScore(answering, entry->callerAddress); };
    std::sort(entries.begin(), entries.end(), [&](const auto* left, const auto* right) { return score(left) > score(right); });
}

} // namespace

entry_peers::entry_peers(instant startedAt, peer_settings settings)
    : m_startedAt(startedAt)
    , m_settings(settings)
{
}

bool entry_peers::recordPresence(instant now, const entry_presence& presence)
{
    const auto [found, isNew] = m_peers.try_emplace(presence.callerAddress);
    const bool wasSilent = isNew || now - found->second.heardAt >= m_settings.silenceTimeout;
    // What another entry passes on may be older than what was heard since.
    if (isNew || now >= found->second.heardAt)
        found->second = { presence, now };
    return wasSilent;
}

std::vector<relayed_presence> entry_peers::heardIn(instant now, const availability_zone_id& zone) const
{
    std::vector<relayed_presence> heard;
    for (const auto& [address, peer] : m_peers) {
        if (peer.presence.zone == zone && now - peer.heardAt < m_settings.silenceTimeout)
            heard.push_back({ peer.presence, now - peer.heardAt });
    }
    return heard;
}

std::map<availability_zone_id, std::set<instance_id>> entry_peers::heardWithin(instant now, duration time) const
{
    std::map<availability_zone_id, std::set<instance_id>> heard;
    for (const auto& [address, peer] : m_peers) {
        if (now - peer.heardAt < time)
            heard[peer.presence.zone].insert(peer.presence.instance);
    }
    return heard;
}

std::vector<std::string> entry_peers::callerAddresses(
    instant now, const entry_presence& self, const availability_zone_id& zone) const
{
    std::vector<const entry_presence*> serving;
    if (self.serving)
        serving.push_back(&self);
    for (const auto& [address, peer] : m_peers) {
        if (peer.presence.serving && now - peer.heardAt < m_settings.silenceTimeout)
            serving.push_back(&peer.presence);
    }
    const auto others = std::stable_partition(serving.begin(), serving.end(), [&](const auto* entry) { return entry->zone == zone; });
    if (serving.size() > m_settings.maxAddresses)
        shuffleByAnsweringEntry(self.callerAddress, { others, serving.end() });
    serving.resize(std::min(serving.size(), m_settings.maxAddresses));
    std::vector<std::string> addresses;
    addresses.reserve(serving.size());
    for (const entry_presence* entry : serving)
        addresses.push_back(entry->callerAddress);
    return addresses;
}

std::size_t entry_peers::entryCount(instant now) const
{
    const auto recentPeers = static_cast<std::size_t>(std::count_if(m_peers.begin(), m_peers.end(),
        [&](const auto& entry) { return now - entry.second.heardAt < m_settings.countingWindow; }));
    const bool isDiscoveryOver = now - m_startedAt >= m_settings.discoveryPeriod;
    const std::size_t knownEntries = std::max(recentPeers + 1, m_listedEntries);
    return isDiscoveryOver ? knownEntries : std::max(knownEntries, m_settings.initialEntryEstimate);
}

} // namespace appleramp
