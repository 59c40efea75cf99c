#include "decisions/groups/group_map_planner.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <vector>

namespace appleramp {

namespace {

// Plans one set.
class set_planner {
public:
    set_planner(const group_map& current, std::size_t set, std::span<const double> loads, const planning_limits& limits,
        std::vector<std::size_t>& copies)
        : m_loads(loads)
        , m_limits(limits)
        , m_copies(copies)
        , m_ranksOf(loads.size())
        , m_rankLoads(current.ranks())
    {
        for (std::size_t rank = 0; rank < current.ranks(); ++rank) {
            m_held.push_back(current.at(set, rank));
            m_original.push_back(current.at(set, rank));
            for (const expert_number expert : m_held.back())
                m_ranksOf[expert].push_back(rank);
        }
        m_mean = std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(current.ranks());
        recount();
    }

    // Makes the best change there is. False if none is worth it.
    bool improve();
    // Time of the slowest rank, of which passes wait for the sum over the sets.
    double most() const { return *std::max_element(m_rankLoads.begin(), m_rankLoads.end()); }

    const std::vector<expert_number>& held(std::size_t rank) const { return m_held[rank]; }

private:
    // Put `expert` on rank `to`, where `out` (if any) leaves; where `from` is set the expert leaves that rank, and
    // `out` takes its place there if it is an exchange.
    struct change {
        expert_number expert = 0;
        std::size_t to = 0;
        std::optional<expert_number> out;
        std::optional<std::size_t> from;
        bool isExchange = false;
        double most = 0;
        double spread = 0;
    };

    double pace(std::size_t rank) const { return rank < m_limits.paces.size() ? m_limits.paces[rank] : 1; }

    bool holds(std::size_t rank, expert_number expert) const
    {
        return std::find(m_held[rank].begin(), m_held[rank].end(), expert) != m_held[rank].end();
    }

    bool isNewTo(std::size_t rank, expert_number expert) const
    {
        return std::find(m_original[rank].begin(), m_original[rank].end(), expert) == m_original[rank].end();
    }

    bool mayTake(std::size_t rank, expert_number expert) const
    {
        if (holds(rank, expert))
            return false;
        if (!isNewTo(rank, expert))
            return true;
        const auto fresh = std::count_if(m_held[rank].begin(), m_held[rank].end(), [&](expert_number held) { return isNewTo(rank, held); });
        return static_cast<std::size_t>(fresh) < m_limits.newPerRank && m_copies[rank] < m_limits.copiesPerRank;
    }

    void recount()
    {
        for (std::size_t rank = 0; rank < m_held.size(); ++rank) {
            m_rankLoads[rank] = 0;
            for (const expert_number expert : m_held[rank])
                m_rankLoads[rank] += pace(rank) * m_loads[expert] / static_cast<double>(m_ranksOf[expert].size());
        }
    }

    static double spreadOf(const std::vector<double>& loads)
    {
        return std::accumulate(loads.begin(), loads.end(), 0.0, [](double sum, double load) { return sum + load * load; });
    }

    void remove(std::size_t rank, expert_number expert)
    {
        if (isNewTo(rank, expert))
            --m_copies[rank];
        std::erase(m_held[rank], expert);
        std::erase(m_ranksOf[expert], rank);
    }

    void add(std::size_t rank, expert_number expert)
    {
        if (isNewTo(rank, expert))
            ++m_copies[rank];
        m_held[rank].push_back(expert);
        m_ranksOf[expert].push_back(rank);
    }

    void apply(const change& change)
    {
        if (change.out)
            remove(change.to, *change.out);
        if (change.from)
            remove(*change.from, change.expert);
        add(change.to, change.expert);
        if (change.isExchange)
            add(*change.from, *change.out);
    }

    // What the ranks' loads become when an expert gains a holder, loses one, or both.
    void shift(expert_number expert, std::optional<std::size_t> gains, std::optional<std::size_t> loses)
    {
        const std::size_t before = m_ranksOf[expert].size();
        const std::size_t after = before + (gains ? 1 : 0) - (loses ? 1 : 0);
        const double load = m_loads[expert];
        for (const std::size_t rank : m_ranksOf[expert])
            m_scratch[rank] += pace(rank) * (load / static_cast<double>(after) - load / static_cast<double>(before));
        if (loses)
            m_scratch[*loses] -= pace(*loses) * load / static_cast<double>(after);
        if (gains)
            m_scratch[*gains] += pace(*gains) * load / static_cast<double>(after);
    }

    void consider(change candidate, std::optional<change>& best)
    {
        m_scratch = m_rankLoads;
        shift(candidate.expert, candidate.to, candidate.from);
        if (candidate.out)
            shift(*candidate.out, candidate.isExchange ? candidate.from : std::nullopt, candidate.to);
        candidate.most = *std::max_element(m_scratch.begin(), m_scratch.end());
        candidate.spread = spreadOf(m_scratch);
        if (!best || std::pair(candidate.most, candidate.spread) < std::pair(best->most, best->spread))
            best = candidate;
    }

    // Ways to bring an expert of the busiest rank to another rank as well, or instead.
    void considerTarget(std::size_t busiest, expert_number expert, std::size_t target, std::optional<change>& best)
    {
        if (!mayTake(target, expert))
            return;
        if (m_held[target].size() < m_limits.placesPerRank) {
            consider({ .expert = expert, .to = target }, best);
            consider({ .expert = expert, .to = target, .from = busiest }, best);
            return;
        }
        const std::vector<expert_number> victims = m_held[target];
        for (const expert_number out : victims) {
            if (m_ranksOf[out].size() > 1)
                consider({ .expert = expert, .to = target, .out = out }, best);
            if (m_loads[out] < m_loads[expert] && mayTake(busiest, out))
                consider({ .expert = expert, .to = target, .out = out, .from = busiest, .isExchange = true }, best);
        }
    }

    // Least loaded ranks that are tried as targets of one change.
    static constexpr std::size_t maxTargets = 8;

    std::span<const double> m_loads;
    const planning_limits& m_limits;
    std::vector<std::size_t>& m_copies;
    std::vector<std::vector<std::size_t>> m_ranksOf;
    std::vector<double> m_rankLoads;
    std::vector<double> m_scratch;
    std::vector<std::vector<expert_number>> m_held;
    std::vector<std::vector<expert_number>> m_original;
    double m_mean = 0;
};

bool set_planner::improve()
{
    recount();
    const auto most = std::max_element(m_rankLoads.begin(), m_rankLoads.end());
    const double mostBefore = *most;
    const double spreadBefore = spreadOf(m_rankLoads);
    const auto busiest = static_cast<std::size_t>(most - m_rankLoads.begin());
    std::vector<std::size_t> targets(m_held.size());
    std::iota(targets.begin(), targets.end(), 0U);
    std::sort(targets.begin(), targets.end(), [&](std::size_t left, std::size_t right) { return m_rankLoads[left] < m_rankLoads[right]; });
    targets.resize(std::min(targets.size(), maxTargets));
    std::optional<change> best;
    const std::vector<expert_number> candidates = m_held[busiest];
    for (const expert_number expert : candidates) {
        for (const std::size_t target : targets) {
            if (target != busiest)
                considerTarget(busiest, expert, target, best);
        }
    }
    const bool lowersMost = best && best->most < mostBefore - m_limits.leastGain * m_mean;
    // Where several ranks are equally busy, relieving one is progress though the maximum stays.
    const bool lowersSpread = best && best->most <= mostBefore && best->spread < spreadBefore * (1 - m_limits.leastGain / 4);
    if (!lowersMost && !lowersSpread)
        return false;
    apply(*best);
    return true;
}

void countCopies(const group_map& current, group_map_plan& plan)
{
    for (std::size_t rank = 0; rank < current.ranks(); ++rank) {
        std::size_t copies = 0;
        for (std::size_t set = 0; set < current.sets(); ++set) {
            const auto& old = current.at(set, rank);
            for (const expert_number expert : plan.map.at(set, rank))
                copies += std::find(old.begin(), old.end(), expert) == old.end() ? 1 : 0;
        }
        plan.copies += copies;
        plan.mostCopies = std::max(plan.mostCopies, copies);
    }
}

} // namespace

group_map_plan planGroupMap(const group_map& current, std::span<const double> loads, const planning_limits& limits)
{
    group_map_plan plan { current, imbalance(current, loads, limits.experts, limits.paces) };
    std::vector<std::size_t> copies(current.ranks());
    std::vector<set_planner> planners;
    planners.reserve(current.sets());
    for (std::size_t set = 0; set < current.sets(); ++set)
        planners.emplace_back(current, set, loads.subspan(set * limits.experts, limits.experts), limits, copies);
    std::vector<set_planner*> open;
    open.reserve(planners.size());
    for (set_planner& planner : planners)
        open.push_back(&planner);
    for (std::size_t change = 0; change < limits.maxChanges && !open.empty(); ++change) {
        const auto worst = std::max_element(
            open.begin(), open.end(), [](const auto* left, const auto* right) { return left->most() < right->most(); });
        if (!(*worst)->improve())
            open.erase(worst);
    }
    for (std::size_t set = 0; set < current.sets(); ++set) {
        for (std::size_t rank = 0; rank < current.ranks(); ++rank)
            plan.map.at(set, rank) = planners[set].held(rank);
    }
    plan.after = imbalance(plan.map, loads, limits.experts, limits.paces);
    countCopies(current, plan);
    return plan;
}

} // namespace appleramp
