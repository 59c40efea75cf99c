#include "decisions/maps/layer_packing.h"

#include <algorithm>

// The steps by which layer_packing changes where experts are.

namespace appleramp {

namespace {

// A new replica must take at least this part of a rank's mean load.
constexpr auto leastGainPart = 2e-3;

} // namespace

bool layer_packing::addReplica(expert_index expert)
{
    if (const auto added = bestAddition(expert)) {
        occupy(added->place, expert);
        drainInto(added->place);
        return true;
    }
    if (const auto evicted = bestEviction(expert)) {
        const auto moved = m_slots[evicted->from].expert;
        unlink(evicted->from);
        occupy(evicted->to, moved);
        occupy(evicted->from, expert);
        return true;
    }
    if (const auto step = bestExchange()) {
        exchange(*step);
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

bool layer_packing::removable(place_index place) const
{
    const auto expert = m_slots[place].expert;
    if (!m_usable[place])
        return false;
    return expert == noExpert || m_replicas[expert].size() > 1;
}

bool layer_packing::isFree(place_index place) const
{
    return removable(place) && m_slots[place].flow <= smallest();
}

// The place whose taking lets most load flow. Among equals the tightest rank, so that large rooms stay whole.
std::optional<layer_packing::addition> layer_packing::bestAddition(expert_index expert)
{
    constexpr auto otherZonePart = 1e-3;
    std::optional<addition> best;
    const auto deficit = m_deficit[expert];
    for (place_index place = 0; place < m_slots.size(); ++place) {
        const auto rank = rankOf(place);
        const auto lost = m_slots[place].flow;
        const auto room = slack(rank) + lost;
        const auto gain = std::min(deficit, room) - lost;
        if (gain < leastGainPart * m_mean || (best && gain < best->gain - smallest()))
            continue;
        if (!removable(place) || rankHolds(rank, expert))
            continue;
        auto fit = -room;
        if (m_severalZones && !zoneHolds(rank, expert))
            fit += otherZonePart * m_mean;
        if (!best || gain > best->gain + smallest() || fit > best->fit)
            best = addition { place, gain, fit };
    }
    return best;
}

std::optional<layer_packing::place_index> layer_packing::roomiestFreePlace() const
{
    std::optional<place_index> best;
    double most = 0;
    for (place_index place = 0; place < m_slots.size(); ++place) {
        const auto room = slack(rankOf(place));
        if ((!best || room > most) && isFree(place)) {
            best = place;
            most = room;
        }
    }
    return best;
}

// The sole replica of another expert goes to the roomiest rank, so that its rank can take the hot expert.
std::optional<layer_packing::eviction> layer_packing::bestEviction(expert_index expert)
{
    const auto target = roomiestFreePlace();
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
        if (gain < 2 * leastGainPart * m_mean || (best && gain <= best->gain))
            continue;
        if (!rankHolds(rank, expert) && !rankHolds(targetRank, held.expert))
            best = eviction { place, *target, gain };
    }
    return best;
}

// Places on the ranks with most room, those with little load first: at most one a rank.
std::vector<layer_packing::place_index> layer_packing::roomyPlaces() const
{
    constexpr std::size_t most = 6;
    std::vector<place_index> places;
    for (std::size_t rank = 0; rank < m_speed.size(); ++rank) {
        if (m_rankSeen[rank] || slack(rank_index(rank)) < 2 * leastGainPart * m_mean)
            continue;
        const auto first = place_index(rank * m_stride);
        auto lightest = first;
        for (auto place = first; place < first + m_rankPlaces[rank]; ++place) {
            if (m_slots[place].expert != noExpert && m_slots[place].flow < m_slots[lightest].flow)
                lightest = place;
        }
        if (m_slots[lightest].expert != noExpert)
            places.push_back(lightest);
    }
    std::ranges::stable_sort(places, [this](auto a, auto b) { return slack(rankOf(a)) > slack(rankOf(b)); });
    places.resize(std::min(places.size(), most));
    return places;
}

std::optional<layer_packing::exchange_step> layer_packing::bestExchange() const
{
    for (const auto from : roomyPlaces()) {
        if (const auto step = exchangeWith(from))
            return step;
    }
    return std::nullopt;
}

// The home is a place of the closed set that the last search visited, so that the room gained is within its reach.
std::optional<layer_packing::exchange_step> layer_packing::exchangeWith(place_index from) const
{
    const auto& leaving = m_slots[from];
    for (const auto expert : m_queue) {
        if (rankHolds(rankOf(from), expert))
            continue;
        for (const auto home : m_replicas[expert]) {
            const auto room = m_slots[home].flow - leaving.flow;
            if (room < 2 * leastGainPart * m_mean || rankHolds(rankOf(home), leaving.expert))
                continue;
            if (const auto to = freePlaceBeside(home))
                return exchange_step { from, *to, home };
        }
    }
    return std::nullopt;
}

std::optional<layer_packing::place_index> layer_packing::freePlaceBeside(place_index place) const
{
    const place_index first = rankOf(place) * m_stride;
    for (auto other = first; other < first + m_rankPlaces[rankOf(place)]; ++other) {
        if (other != place && isFree(other))
            return other;
    }
    return std::nullopt;
}

void layer_packing::exchange(const exchange_step& step)
{
    const auto leaving = m_slots[step.from].expert;
    const auto flow = m_slots[step.from].flow;
    const auto expert = m_slots[step.home].expert;
    push(step.home, -flow);
    unlink(step.from);
    occupy(step.to, leaving);
    occupy(step.from, expert);
    const auto more = std::clamp(slack(rankOf(step.from)), 0.0, m_slots[step.home].flow);
    push(step.home, -more);
    push(step.from, more);
}

void layer_packing::occupy(place_index place, expert_index expert)
{
    unlink(place);
    link(place, expert);
    push(place, std::clamp(slack(rankOf(place)), 0.0, m_deficit[expert]));
}

// Fills the rank of a new replica with load of the same expert from ranks that have a free place for other work.
void layer_packing::drainInto(place_index place)
{
    const auto rank = rankOf(place);
    const auto expert = m_slots[place].expert;
    for (const auto other : m_replicas[expert]) {
        const auto room = slack(rank);
        if (room <= smallest() || other == place)
            continue;
        if (!freePlaceBeside(other))
            continue;
        const auto amount = std::min(room, m_slots[other].flow);
        push(other, -amount);
        push(place, amount);
    }
}

} // namespace appleramp
