#include "decisions/maps/layer_packing.h"

#include <algorithm>

// The part of layer_packing that moves experts between places.

namespace appleramp {

namespace {

// A new replica must gain at least this fraction of the mean load of a rank.
constexpr auto minGainFraction = 2e-3;

} // namespace

bool layer_packing::addReplica(expert_index expert)
{
    if (const auto added = bestAddition(expert)) {
        placeReplica(added->place, expert);
        shiftLoadTo(added->place);
        return true;
    }
    if (const auto evicted = bestEviction(expert)) {
        const auto moved = m_slots[evicted->from].expert;
        clearPlace(evicted->from);
        placeReplica(evicted->to, moved);
        placeReplica(evicted->from, expert);
        return true;
    }
    if (const auto step = bestExchange()) {
        applyExchange(*step);
        return true;
    }
    return false;
}

bool layer_packing::rankHolds(rank_index rank, expert_index expert) const
{
    return std::ranges::any_of(m_replicas[expert], [&](auto place) { return rankOf(place) == rank; });
}

bool layer_packing::zoneHolds(rank_index rank, expert_index expert) const
{
    return std::ranges::any_of(m_replicas[expert],
        [&](auto place) { return m_zone[rankOf(place)] == m_zone[rank]; });
}

bool layer_packing::isRemovable(place_index place) const
{
    const auto expert = m_slots[place].expert;
    if (!m_usable[place])
        return false;
    return expert == noExpert || m_replicas[expert].size() > 1;
}

bool layer_packing::isFree(place_index place) const
{
    return isRemovable(place) && m_slots[place].flow <= negligibleFlow();
}

// Finds the place where a new replica lets the most additional load be assigned. Ties go to the rank with the least
// slack, so that large slack stays available (best fit), and to zones that do not hold the expert yet.
std::optional<layer_packing::addition> layer_packing::bestAddition(expert_index expert)
{
    constexpr auto otherZoneFraction = 1e-3;
    std::optional<addition> best;
    const auto deficit = m_deficit[expert];
    for (place_index place = 0; place < m_slots.size(); ++place) {
        const auto rank = rankOf(place);
        const auto lost = m_slots[place].flow;
        const auto room = slack(rank) + lost;
        const auto gain = std::min(deficit, room) - lost;
        if (gain < minGainFraction * m_meanLoad || (best && gain < best->gain - negligibleFlow()))
            continue;
        if (!isRemovable(place) || rankHolds(rank, expert))
            continue;
        auto tieBreaker = -room;
        if (m_severalZones && !zoneHolds(rank, expert))
            tieBreaker += otherZoneFraction * m_meanLoad;
        if (!best || gain > best->gain + negligibleFlow() || tieBreaker > best->tieBreaker)
            best = addition { place, gain, tieBreaker };
    }
    return best;
}

std::optional<layer_packing::place_index> layer_packing::freePlaceWithMostSlack() const
{
    std::optional<place_index> best;
    double mostSlack = 0;
    for (place_index place = 0; place < m_slots.size(); ++place) {
        const auto room = slack(rankOf(place));
        if ((!best || room > mostSlack) && isFree(place)) {
            best = place;
            mostSlack = room;
        }
    }
    return best;
}

// Finds a replica of another expert to move to the free place with the most slack, so that its own place can take a
// replica of the hot expert.
std::optional<layer_packing::eviction> layer_packing::bestEviction(expert_index expert)
{
    const auto target = freePlaceWithMostSlack();
    if (!target)
        return std::nullopt;
    std::optional<eviction> best;
    const auto targetRank = rankOf(*target);
    for (place_index place = 0; place < m_slots.size(); ++place) {
        const auto& held = m_slots[place];
        const auto rank = rankOf(place);
        if (held.expert == noExpert || held.expert == expert || rank == targetRank)
            continue;
        const auto lost = std::max(0.0, held.flow - std::max(0.0, slack(targetRank)));
        const auto gain = std::min(m_deficit[expert], slack(rank) + held.flow) - lost;
        if (gain < 2 * minGainFraction * m_meanLoad || (best && gain <= best->gain))
            continue;
        if (!rankHolds(rank, expert) && !rankHolds(targetRank, held.expert))
            best = eviction { place, *target, gain };
    }
    return best;
}

// Returns the lightest occupied place of each rank that has slack and was not visited, at most six, ranks with the most
// slack first.
std::vector<layer_packing::place_index> layer_packing::exchangeCandidates() const
{
    constexpr std::size_t maxCandidates = 6;
    std::vector<place_index> places;
    for (std::size_t rank = 0; rank < m_speed.size(); ++rank) {
        if (m_rankVisited[rank] || slack(rank_index(rank)) < 2 * minGainFraction * m_meanLoad)
            continue;
        const auto first = place_index(rank * m_placesPerRank);
        auto lightest = first;
        for (auto place = first; place < first + m_rankPlaces[rank]; ++place) {
            if (m_slots[place].expert != noExpert && m_slots[place].flow < m_slots[lightest].flow)
                lightest = place;
        }
        if (m_slots[lightest].expert != noExpert)
            places.push_back(lightest);
    }
    std::ranges::stable_sort(places, [this](auto a, auto b) { return slack(rankOf(a)) > slack(rankOf(b)); });
    places.resize(std::min(places.size(), maxCandidates));
    return places;
}

std::optional<layer_packing::exchange_step> layer_packing::bestExchange() const
{
    for (const auto from : exchangeCandidates()) {
        if (const auto step = findExchangeFrom(from))
            return step;
    }
    return std::nullopt;
}

// Only considers experts that the last search visited, so that the slack gained is reachable from the expert with the
// deficit.
std::optional<layer_packing::exchange_step> layer_packing::findExchangeFrom(place_index from) const
{
    const auto& leaving = m_slots[from];
    for (const auto expert : m_queue) {
        if (rankHolds(rankOf(from), expert))
            continue;
        for (const auto replicated : m_replicas[expert]) {
            const auto room = m_slots[replicated].flow - leaving.flow;
            if (room < 2 * minGainFraction * m_meanLoad || rankHolds(rankOf(replicated), leaving.expert))
                continue;
            if (const auto to = freePlaceOnSameRank(replicated))
                return exchange_step { from, *to, replicated };
        }
    }
    return std::nullopt;
}

std::optional<layer_packing::place_index> layer_packing::freePlaceOnSameRank(place_index place) const
{
    const place_index first = rankOf(place) * m_placesPerRank;
    for (auto other = first; other < first + m_rankPlaces[rankOf(place)]; ++other) {
        if (other != place && isFree(other))
            return other;
    }
    return std::nullopt;
}

void layer_packing::applyExchange(const exchange_step& step)
{
    const auto leaving = m_slots[step.from].expert;
    const auto flow = m_slots[step.from].flow;
    const auto expert = m_slots[step.replicated].expert;
    addFlow(step.replicated, -flow);
    clearPlace(step.from);
    placeReplica(step.to, leaving);
    placeReplica(step.from, expert);
    const auto more = std::clamp(slack(rankOf(step.from)), 0.0, m_slots[step.replicated].flow);
    addFlow(step.replicated, -more);
    addFlow(step.from, more);
}

void layer_packing::placeReplica(place_index place, expert_index expert)
{
    clearPlace(place);
    assignPlace(place, expert);
    addFlow(place, std::clamp(slack(rankOf(place)), 0.0, m_deficit[expert]));
}

// Moves load of the same expert to a new replica from ranks that have a free place, which can then take other experts.
void layer_packing::shiftLoadTo(place_index place)
{
    const auto rank = rankOf(place);
    const auto expert = m_slots[place].expert;
    for (const auto other : m_replicas[expert]) {
        const auto room = slack(rank);
        if (room <= negligibleFlow() || other == place)
            continue;
        if (!freePlaceOnSameRank(other))
            continue;
        const auto amount = std::min(room, m_slots[other].flow);
        addFlow(other, -amount);
        addFlow(place, amount);
    }
}

} // namespace appleramp
