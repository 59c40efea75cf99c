#include "decisions/maps/layer_packing.h"

#include "decisions/maps/maps_error.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <map>
#include <numeric>

namespace appleramp {

namespace {

// Fraction of the mean load of a rank below which a flow counts as zero.
constexpr auto negligibleFraction = 1e-6;
constexpr auto limitGrowth = 1.002;

} // namespace

layer_packing::layer_packing(const group_shape& shape)
    : m_placesPerRank(shape.maxPlaces())
    , m_load(shape.experts)
    , m_capacity(shape.ranks.size())
    , m_assignedLoad(shape.ranks.size())
    , m_deficit(shape.experts)
    , m_slots(shape.ranks.size() * m_placesPerRank)
    , m_replicas(shape.experts)
    , m_expertVisited(shape.experts)
    , m_rankVisited(shape.ranks.size())
    , m_reachedFromPlace(shape.experts)
    , m_reachedByPlace(shape.experts)
{
    std::uint32_t places = 0;
    std::map<availability_zone_id, std::uint16_t> zones;
    for (const auto& rank : shape.ranks) {
        m_rankPlaces.push_back(rank.out ? 0 : rank.places);
        m_speed.push_back(rank.out ? 0 : rank.speed);

        places += m_rankPlaces.back();
        m_zone.push_back(zones.try_emplace(rank.zone, std::uint16_t(zones.size())).first->second);
        for (std::uint32_t place = 0; place < m_placesPerRank; ++place) {
            m_rankOfPlace.push_back(rank_index(m_zone.size() - 1));
            m_usable.push_back(place < m_rankPlaces.back() ? 1 : 0);
        }
    }
    m_severalZones = zones.size() > 1;
    if (places < shape.experts)
        throw maps_error("the group's ranks have fewer places than experts");
}

double layer_packing::negligibleFlow() const
{
    return m_meanLoad * negligibleFraction;
}

void layer_packing::start(std::span<const expert_place> current, std::span<const double> loads, double limit)
{
    const auto work = std::accumulate(loads.begin(), loads.end(), 0.0);
    m_meanLoad = work / double(m_speed.size());
    // An expert without load still needs a place, so it gets a small load.
    std::ranges::transform(loads, m_load.begin(), [this](double load) { return std::max(load, negligibleFlow() * 2); });
    std::ranges::fill(m_assignedLoad, 0.0);
    std::ranges::fill(m_slots, slot {});
    for (auto& replicas : m_replicas)
        replicas.clear();
    m_deficit = m_load;
    setLimit(limit);
    loadCurrentPlaces(current);
    trimOverload();
    placeMissing();
}

void layer_packing::setLimit(double limit)
{
    m_limit = limit;
    for (std::size_t rank = 0; rank < m_speed.size(); ++rank)
        m_capacity[rank] = limit * m_speed[rank];
}

void layer_packing::loadCurrentPlaces(std::span<const expert_place> current)
{
    for (place_index place = 0; place < current.size(); ++place) {
        const auto& held = current[place];
        if (held.expert == noExpert || held.expert >= m_load.size())
            continue;
        if (!m_usable[place])
            continue;
        assignPlace(place, held.expert);
        addFlow(place, m_load[held.expert] * held.share / wholeShare);
    }
}

void layer_packing::trimOverload()
{
    for (std::size_t index = 0; index < m_speed.size(); ++index) {
        const auto rank = rank_index(index);
        const auto excess = m_assignedLoad[rank] - m_capacity[rank];
        if (excess <= 0)
            continue;
        const auto keep = m_capacity[rank] / m_assignedLoad[rank];
        for (place_index place = rank * m_placesPerRank; place < rank * m_placesPerRank + m_rankPlaces[rank]; ++place) {
            if (m_slots[place].expert != noExpert)
                addFlow(place, m_slots[place].flow * (keep - 1));
        }
    }
}

// Places the experts that no rank holds, heaviest first, each on the rank with the most slack, so that its whole load
// fits if possible.
void layer_packing::placeMissing()
{
    std::vector<expert_index> missing;
    for (std::size_t index = 0; index < m_load.size(); ++index) {
        const auto expert = expert_index(index);
        if (m_replicas[expert].empty())
            missing.push_back(expert);
    }
    std::ranges::stable_sort(missing, [this](auto a, auto b) { return m_load[a] > m_load[b]; });
    for (const auto expert : missing) {
        auto place = freePlaceWithMostSlack();
        if (!place) {
            for (place_index other = 0; other < m_slots.size() && !place; ++other) {
                if (isRemovable(other))
                    place = other;
            }
        }
        assert(place);
        placeReplica(*place, expert);
    }
}

void layer_packing::assignPlace(place_index place, expert_index expert)
{
    m_slots[place] = { expert, 0 };
    m_replicas[expert].push_back(place);
}

void layer_packing::clearPlace(place_index place)
{
    auto& held = m_slots[place];
    if (held.expert == noExpert)
        return;
    addFlow(place, -held.flow);
    std::erase(m_replicas[held.expert], place);
    held = {};
}

void layer_packing::addFlow(place_index place, double amount)
{
    auto& held = m_slots[place];
    held.flow += amount;
    m_assignedLoad[rankOf(place)] += amount;
    m_deficit[held.expert] -= amount;
}

double layer_packing::solve(bool allowMoves)
{
    auto additionsLeft = allowMoves ? 4 * (m_load.size() + m_speed.size()) : 0;
    while (const auto expert = largestDeficit()) {
        if (augment(*expert))
            continue;
        if (additionsLeft > 0) {
            --additionsLeft;
            if (addReplica(*expert))
                continue;
        }
        raiseLimit(additionsLeft > 0);
    }
    return m_limit;
}

// Raises the limit to what the visited ranks need to carry the visited experts. While replicas may still be added, it
// grows by at most limitGrowth at a time, since a little more slack may already allow another replica.
void layer_packing::raiseLimit(bool movesLeft)
{
    const auto needed = limitOfVisited();
    const auto raised = movesLeft ? std::min(needed, m_limit * limitGrowth) : needed;
    setLimit(std::max(raised, m_limit * (1 + negligibleFraction)));
}

std::optional<expert_index> layer_packing::largestDeficit() const
{
    const auto largest = std::ranges::max_element(m_deficit);
    if (*largest <= negligibleFlow())
        return std::nullopt;
    return expert_index(largest - m_deficit.begin());
}

// Moves deficit of the expert along one augmenting path to a rank with slack. If there is no such path, returns false;
// the visited experts then have replicas on visited ranks only.
bool layer_packing::augment(expert_index from)
{
    std::ranges::fill(m_expertVisited, 0);
    std::ranges::fill(m_rankVisited, 0);
    m_queue.assign(1, from);
    m_expertVisited[from] = 1;
    for (std::size_t next = 0; next < m_queue.size(); ++next) {
        const auto expert = m_queue[next];
        for (const auto place : m_replicas[expert]) {
            const auto rank = rankOf(place);
            if (m_rankVisited[rank])
                continue;
            m_rankVisited[rank] = 1;
            if (slack(rank) > negligibleFlow()) {
                addFlowAlongPath(from, place);
                return true;
            }
            const place_index first = rank * m_placesPerRank;
            for (place_index other = first; other < first + m_rankPlaces[rank]; ++other) {
                const auto& held = m_slots[other];
                if (held.expert == noExpert || m_expertVisited[held.expert] || held.flow <= negligibleFlow())
                    continue;
                m_expertVisited[held.expert] = 1;
                m_reachedFromPlace[held.expert] = other;
                m_reachedByPlace[held.expert] = place;
                m_queue.push_back(held.expert);
            }
        }
    }
    return false;
}

void layer_packing::addFlowAlongPath(expert_index from, place_index last)
{
    auto amount = std::min(m_deficit[from], slack(rankOf(last)));
    for (auto expert = m_slots[last].expert; expert != from; expert = m_slots[m_reachedByPlace[expert]].expert)
        amount = std::min(amount, m_slots[m_reachedFromPlace[expert]].flow);
    auto place = last;
    for (auto expert = m_slots[last].expert; expert != from; expert = m_slots[place].expert) {
        addFlow(place, amount);
        addFlow(m_reachedFromPlace[expert], -amount);
        place = m_reachedByPlace[expert];
    }
    addFlow(place, amount);
}

// The visited experts have replicas on visited ranks only, so the slowest of these ranks takes at least this long.
double layer_packing::limitOfVisited() const
{
    double load = 0;
    double speed = 0;
    for (std::size_t expert = 0; expert < m_load.size(); ++expert)
        load += m_expertVisited[expert] ? m_load[expert] : 0;
    for (std::size_t rank = 0; rank < m_speed.size(); ++rank)
        speed += m_rankVisited[rank] ? m_speed[rank] : 0;
    return load / speed;
}

void layer_packing::write(std::span<expert_place> places) const
{
    for (place_index place = 0; place < places.size(); ++place)
        places[place] = { m_slots[place].expert, 0 };
    for (const auto& replicas : m_replicas) {
        double flow = 0;
        for (const auto place : replicas)
            flow += m_slots[place].flow;
        std::uint32_t given = 0;
        place_index largest = replicas.front();
        for (const auto place : replicas) {
            places[place].share = std::uint16_t(std::floor(std::max(0.0, m_slots[place].flow) / flow * wholeShare));
            given += places[place].share;
            if (places[place].share > places[largest].share)
                largest = place;
        }
        places[largest].share = std::uint16_t(places[largest].share + wholeShare - given);
    }
}

} // namespace appleramp
