#include "decisions/groups/group_map_planner.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <vector>

namespace appleramp {

namespace {

// Plans the experts of one set.
class set_planner {
public:
    set_planner(const group_map& current, std::size_t set, std::span<const double> loads, const planning_limits& limits,
        std::vector<std::size_t>& copies)
        : m_loads(loads)
        , m_limits(limits)
        , m_copiesByRank(copies)
        , m_holders(loads.size())
        , m_rankLoads(current.ranks())
    {
        for (std::size_t rank = 0; rank < current.ranks(); ++rank) {
            m_plannedExperts.push_back(current.at(set, rank));
            m_currentExperts.push_back(current.at(set, rank));
            for (const expert_number expert : m_plannedExperts.back())
                m_holders[expert].push_back(rank);
        }
        m_mean = std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(current.ranks());
        recomputeRankLoads();
    }

    // Applies the best change. Returns false if none is worth it.
    bool improve();
    // Time of the slowest rank in this set. A pass takes the sum of these times over all sets.
    double slowestRankTime() const { return *std::max_element(m_rankLoads.begin(), m_rankLoads.end()); }

    const std::vector<expert_number>& plannedExperts(std::size_t rank) const { return m_plannedExperts[rank]; }

private:
    // Adds `expert` to rank `to`, from which `evicted`, if set, is removed. If `from` is set, the expert is removed from that
    // rank, and in an exchange `evicted` is added there.
    struct change {
        expert_number expert = 0;
        std::size_t to = 0;
        std::optional<expert_number> evicted;
        std::optional<std::size_t> from;
        bool isExchange = false;
        double slowestTime = 0;
        double loadSquares = 0;
    };

    double slowdownFactor(std::size_t rank) const { return rank < m_limits.slowdownFactors.size() ? m_limits.slowdownFactors[rank] : 1; }

    bool holds(std::size_t rank, expert_number expert) const
    {
        return std::find(m_plannedExperts[rank].begin(), m_plannedExperts[rank].end(), expert) != m_plannedExperts[rank].end();
    }

    bool isNewTo(std::size_t rank, expert_number expert) const
    {
        return std::find(m_currentExperts[rank].begin(), m_currentExperts[rank].end(), expert) == m_currentExperts[rank].end();
    }

    bool canTake(std::size_t rank, expert_number expert) const
    {
        if (holds(rank, expert))
            return false;
        if (!isNewTo(rank, expert))
            return true;
        const auto gained = std::count_if(m_plannedExperts[rank].begin(), m_plannedExperts[rank].end(), [&](expert_number held) { return isNewTo(rank, held); });
        return static_cast<std::size_t>(gained) < m_limits.maxNewPerRankAndSet && m_copiesByRank[rank] < m_limits.maxCopiesPerRank;
    }

    void recomputeRankLoads()
    {
        for (std::size_t rank = 0; rank < m_plannedExperts.size(); ++rank) {
            m_rankLoads[rank] = 0;
            for (const expert_number expert : m_plannedExperts[rank])
                m_rankLoads[rank] += slowdownFactor(rank) * m_loads[expert] / static_cast<double>(m_holders[expert].size());
        }
    }

    static double sumOfSquares(const std::vector<double>& loads)
    {
        return std::accumulate(loads.begin(), loads.end(), 0.0, [](double sum, double load) { return sum + load * load; });
    }

    void remove(std::size_t rank, expert_number expert)
    {
        if (isNewTo(rank, expert))
            --m_copiesByRank[rank];
        std::erase(m_plannedExperts[rank], expert);
        std::erase(m_holders[expert], rank);
    }

    void add(std::size_t rank, expert_number expert)
    {
        if (isNewTo(rank, expert))
            ++m_copiesByRank[rank];
        m_plannedExperts[rank].push_back(expert);
        m_holders[expert].push_back(rank);
    }

    void apply(const change& change)
    {
        if (change.evicted)
            remove(change.to, *change.evicted);
        if (change.from)
            remove(*change.from, change.expert);
        add(change.to, change.expert);
        if (change.isExchange)
            add(*change.from, *change.evicted);
    }

    // Updates the candidate loads for an expert that gains a holder, loses one, or both.
    void shiftCandidateLoads(expert_number expert, std::optional<std::size_t> gainingRank, std::optional<std::size_t> losingRank)
    {
        const std::size_t before = m_holders[expert].size();
        const std::size_t after = before + (gainingRank ? 1 : 0) - (losingRank ? 1 : 0);
        const double load = m_loads[expert];
        for (const std::size_t rank : m_holders[expert])
            m_candidateLoads[rank] += slowdownFactor(rank) * (load / static_cast<double>(after) - load / static_cast<double>(before));
        if (losingRank)
            m_candidateLoads[*losingRank] -= slowdownFactor(*losingRank) * load / static_cast<double>(after);
        if (gainingRank)
            m_candidateLoads[*gainingRank] += slowdownFactor(*gainingRank) * load / static_cast<double>(after);
    }

    void evaluate(change candidate, std::optional<change>& best)
    {
        m_candidateLoads = m_rankLoads;
        shiftCandidateLoads(candidate.expert, candidate.to, candidate.from);
        if (candidate.evicted)
            shiftCandidateLoads(*candidate.evicted, candidate.isExchange ? candidate.from : std::nullopt, candidate.to);
        candidate.slowestTime = *std::max_element(m_candidateLoads.begin(), m_candidateLoads.end());
        candidate.loadSquares = sumOfSquares(m_candidateLoads);
        if (!best || std::pair(candidate.slowestTime, candidate.loadSquares) < std::pair(best->slowestTime, best->loadSquares))
            best = candidate;
    }

    // Evaluates all changes that replicate an expert of the busiest rank on `target` or move it there.
    void evaluateTarget(std::size_t busiest, expert_number expert, std::size_t target, std::optional<change>& best)
    {
        if (!canTake(target, expert))
            return;
        if (m_plannedExperts[target].size() < m_limits.placesPerRank) {
            evaluate({ .expert = expert, .to = target }, best);
            evaluate({ .expert = expert, .to = target, .from = busiest }, best);
            return;
        }
        const std::vector<expert_number> victims = m_plannedExperts[target];
        for (const expert_number victim : victims) {
            if (m_holders[victim].size() > 1)
                evaluate({ .expert = expert, .to = target, .evicted = victim }, best);
            if (m_loads[victim] < m_loads[expert] && canTake(busiest, victim))
                evaluate({ .expert = expert, .to = target, .evicted = victim, .from = busiest, .isExchange = true }, best);
        }
    }

    // Number of least loaded ranks that are considered as targets of a change.
    static constexpr std::size_t maxTargets = 8;

    std::span<const double> m_loads;
    const planning_limits& m_limits;
    std::vector<std::size_t>& m_copiesByRank;
    std::vector<std::vector<std::size_t>> m_holders;
    std::vector<double> m_rankLoads;
    std::vector<double> m_candidateLoads;
    std::vector<std::vector<expert_number>> m_plannedExperts;
    std::vector<std::vector<expert_number>> m_currentExperts;
    double m_mean = 0;
};

bool set_planner::improve()
{
    recomputeRankLoads();
    const auto slowest = std::max_element(m_rankLoads.begin(), m_rankLoads.end());
    const double slowestBefore = *slowest;
    const double loadSquaresBefore = sumOfSquares(m_rankLoads);
    const auto busiest = static_cast<std::size_t>(slowest - m_rankLoads.begin());
    std::vector<std::size_t> targets(m_plannedExperts.size());
    std::iota(targets.begin(), targets.end(), 0U);
    std::sort(targets.begin(), targets.end(), [&](std::size_t left, std::size_t right) { return m_rankLoads[left] < m_rankLoads[right]; });
    targets.resize(std::min(targets.size(), maxTargets));
    std::optional<change> best;
    const std::vector<expert_number> candidates = m_plannedExperts[busiest];
    for (const expert_number expert : candidates) {
        for (const std::size_t target : targets) {
            if (target != busiest)
                evaluateTarget(busiest, expert, target, best);
        }
    }
    const bool lowersMaximum = best && best->slowestTime < slowestBefore - m_limits.minGain * m_mean;
    // If several ranks are equally busy, relieving one of them is progress although the maximum stays.
    const bool lowersLoadSquares = best && best->slowestTime <= slowestBefore && best->loadSquares < loadSquaresBefore * (1 - m_limits.minGain / 4);
    if (!lowersMaximum && !lowersLoadSquares)
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
        plan.maxCopiesOfRank = std::max(plan.maxCopiesOfRank, copies);
    }
}

} // namespace

group_map_plan planGroupMap(const group_map& current, std::span<const double> loads, const planning_limits& limits)
{
    group_map_plan plan { current, imbalance(current, loads, limits.experts, limits.slowdownFactors) };
    std::vector<std::size_t> copies(current.ranks());
    std::vector<set_planner> planners;
    planners.reserve(current.sets());
    for (std::size_t set = 0; set < current.sets(); ++set)
        planners.emplace_back(current, set, loads.subspan(set * limits.experts, limits.experts), limits, copies);
    std::vector<set_planner*> improvable;
    improvable.reserve(planners.size());
    for (set_planner& planner : planners)
        improvable.push_back(&planner);
    for (std::size_t change = 0; change < limits.maxChanges && !improvable.empty(); ++change) {
        const auto worst = std::max_element(
            improvable.begin(), improvable.end(), [](const auto* left, const auto* right) { return left->slowestRankTime() < right->slowestRankTime(); });
        if (!(*worst)->improve())
            improvable.erase(worst);
    }
    for (std::size_t set = 0; set < current.sets(); ++set) {
        for (std::size_t rank = 0; rank < current.ranks(); ++rank)
            plan.map.at(set, rank) = planners[set].plannedExperts(rank);
    }
    plan.imbalanceAfter = imbalance(plan.map, loads, limits.experts, limits.slowdownFactors);
    countCopies(current, plan);
    return plan;
}

} // namespace appleramp
