#include "fake_group.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr duration copyTime = std::chrono::milliseconds(120);

std::vector<std::vector<expert_number>> expertsOfRank(const group_map& map, std::size_t rank)
{
    std::vector<std::vector<expert_number>> part;
    for (std::size_t set = 0; set < map.sets(); ++set)
        part.push_back(map.at(set, rank));
    return part;
}

} // namespace

fake_group::fake_group(std::size_t ranks, std::size_t sets, std::size_t experts)
    : m_ranks(ranks)
    , m_experts(experts)
    , m_sets(sets)
{
    for (rank& each : m_ranks)
        each.map = group_map::roundRobin(sets, experts, ranks);
}

bool fake_group::apply(std::size_t index, const rank_order& order)
{
    rank& target = m_ranks[index];
    if (order.epoch != m_epoch || order.expectedOrderCount != target.orders)
        return false;
    switch (order.kind) {
    case rank_order_kind::Prepare:
        return prepare(target, order);
    case rank_order_kind::Hold:
        return hold(target, order);
    case rank_order_kind::Arm:
        return arm(target, order);
    case rank_order_kind::Disarm:
        return disarm(target, order);
    case rank_order_kind::Release:
        break;
    }
    return release(target, order);
}

bool fake_group::prepare(rank& rank, const rank_order& order)
{
    if (order.version <= rank.highestVersion || rank.armedVersion)
        return false;
    rank.highestVersion = order.version;
    rank.copying = prepared_map { order.version, *order.map, m_now + copyTime };
    rank.prepared.reset();
    return true;
}

bool fake_group::hold(rank& rank, const rank_order& order)
{
    if (order.pass <= m_pass || rank.held)
        return false;
    rank.held = order.pass;
    return true;
}

bool fake_group::arm(rank& rank, const rank_order& order)
{
    if (!rank.prepared || rank.prepared->version != order.version || order.pass <= m_pass)
        return false;
    rank.armedVersion = order.version;
    rank.armedPass = order.pass;
    return true;
}

bool fake_group::disarm(rank& rank, const rank_order& order)
{
    if (rank.version == order.version)
        return false;
    // Accepted without effect if that map is not armed.
    if (rank.armedVersion != order.version)
        return true;
    rank.armedVersion.reset();
    return true;
}

bool fake_group::release(rank& rank, const rank_order& order)
{
    if (rank.held != order.pass)
        return true;
    rank.held.reset();
    return true;
}

rank_state fake_group::read(std::size_t index) const
{
    const rank& source = m_ranks[index];
    rank_state state;
    state.rank = static_cast<std::uint32_t>(index);
    state.ranks = static_cast<std::uint32_t>(m_ranks.size());
    state.epoch = m_epoch;
    state.groupOpen = true;
    state.pass = m_pass;
    state.mapVersion = source.version;
    if (source.prepared)
        state.preparedVersion = source.prepared->version;
    state.armedVersion = source.armedVersion;
    if (source.armedVersion)
        state.armedPass = source.armedPass;
    state.heldPass = source.held;
    state.orderCount = source.orders;
    return state;
}

expert_lists_read fake_group::readLists(std::size_t index) const
{
    const rank& source = m_ranks[index];
    expert_lists_read lists;
    lists.epoch = m_epoch;
    lists.mapVersion = source.version;
    lists.experts = expertsOfRank(source.map, index);
    if (source.prepared) {
        lists.preparedVersion = source.prepared->version;
        lists.preparedExperts = expertsOfRank(source.prepared->map, index);
    }
    return lists;
}

bool fake_group::isHeld() const
{
    return std::any_of(m_ranks.begin(), m_ranks.end(), [this](const rank& each) { return each.held && *each.held <= m_pass + 1; });
}

void fake_group::tryPass(instant now)
{
    m_now = now;
    for (rank& each : m_ranks) {
        if (each.copying && each.copying->readyAt <= now)
            each.prepared = std::exchange(each.copying, std::nullopt);
    }
    if (isHeld())
        return;
    ++m_pass;
    for (rank& each : m_ranks) {
        if (each.armedVersion && each.armedPass == m_pass) {
            each.version = *each.armedVersion;
            each.map = each.prepared->map;
            each.prepared.reset();
            each.armedVersion.reset();
        }
    }
    const bool mixed = std::any_of(m_ranks.begin(), m_ranks.end(),
        [this](const rank& each) { return each.version != m_ranks[0].version || !(each.map == m_ranks[0].map); });
    m_mixedPasses += mixed ? 1 : 0;
}

void fake_group::reform()
{
    ++m_epoch;
    for (rank& each : m_ranks) {
        each = rank {};
        each.map = group_map::roundRobin(m_sets, m_experts, m_ranks.size());
    }
}

} // namespace appleramp
