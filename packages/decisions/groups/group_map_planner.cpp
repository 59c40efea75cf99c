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
        m_touched.reserve(current.ranks());
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

    // Changes the candidate load of a rank by that much at normal speed.
    void shiftCandidateLoad(std::size_t rank, double difference)
    {
        if (!isTouched(rank))
            m_touched.push_back(rank);
        m_candidateLoads[rank] += slowdownFactor(rank) * difference;
    }

    // Updates the candidate loads for an expert that gains a holder, loses one, or both.
    void shiftCandidateLoads(expert_number expert, std::optional<std::size_t> gainingRank, std::optional<std::size_t> losingRank)
    {
        const std::size_t before = m_holders[expert].size();
        const std::size_t after = before + (gainingRank ? 1 : 0) - (losingRank ? 1 : 0);
        const double load = m_loads[expert];
        for (const std::size_t rank : m_holders[expert])
            shiftCandidateLoad(rank, load / static_cast<double>(after) - load / static_cast<double>(before));
        if (losingRank)
            shiftCandidateLoad(*losingRank, -load / static_cast<double>(after));
        if (gainingRank)
            shiftCandidateLoad(*gainingRank, load / static_cast<double>(after));
    }

    bool isTouched(std::size_t rank) const { return std::find(m_touched.begin(), m_touched.end(), rank) != m_touched.end(); }

    // Load of the busiest rank that the change does not touch.
    double highestUntouchedLoad() const
    {
        const auto isUntouched = [this](std::size_t rank) { return !isTouched(rank); };
        const auto found = std::find_if(m_busiestRanks.begin(), m_busiestRanks.end(), isUntouched);
        if (found != m_busiestRanks.end())
            return m_rankLoads[*found];
        double highest = 0;
        for (std::size_t rank = 0; rank < m_rankLoads.size(); ++rank)
            highest = isUntouched(rank) ? std::max(highest, m_rankLoads[rank]) : highest;
        return highest;
    }

    // Looks only at the ranks that the change touches, since most loads stay as they are.
    void rateCandidate(change& candidate) const
    {
        candidate.slowestTime = highestUntouchedLoad();
        candidate.loadSquares = m_loadSquares;
        for (const std::size_t rank : m_touched) {
            candidate.slowestTime = std::max(candidate.slowestTime, m_candidateLoads[rank]);
            candidate.loadSquares += m_candidateLoads[rank] * m_candidateLoads[rank] - m_rankLoads[rank] * m_rankLoads[rank];
        }
    }

    void evaluate(change candidate, std::optional<change>& best)
    {
        shiftCandidateLoads(candidate.expert, candidate.to, candidate.from);
        if (candidate.evicted)
            shiftCandidateLoads(*candidate.evicted, candidate.isExchange ? candidate.from : std::nullopt, candidate.to);
        rateCandidate(candidate);
        for (const std::size_t rank : m_touched)
            m_candidateLoads[rank] = m_rankLoads[rank];
        m_touched.clear();
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
    // Busiest ranks that are kept in order. A change touches fewer ranks, mostly.
    static constexpr std::size_t maxBusiest = 16;

    // The first ranks in that order.
    template <typename Order>
    std::vector<std::size_t> firstRanks(std::size_t count, const Order& order) const
    {
        std::vector<std::size_t> ranks(m_plannedExperts.size());
        std::iota(ranks.begin(), ranks.end(), 0U);
        const auto end = ranks.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranks.size()));
        std::partial_sort(ranks.begin(), end, ranks.end(), order);
        ranks.erase(end, ranks.end());
        return ranks;
    }

    std::span<const double> m_loads;
    const planning_limits& m_limits;
    std::vector<std::size_t>& m_copiesByRank;
    std::vector<std::vector<std::size_t>> m_holders;
    std::vector<double> m_rankLoads;
    // The ranks with the lowest and with the highest loads, and the sum of the squares of all loads.
    std::vector<std::size_t> m_idlestRanks;
    std::vector<std::size_t> m_busiestRanks;
    double m_loadSquares = 0;
    // Loads after the change that is being rated; equal to m_rankLoads but for the touched ranks.
    std::vector<double> m_candidateLoads;
    std::vector<std::size_t> m_touched;
    std::vector<std::vector<expert_number>> m_plannedExperts;
    std::vector<std::vector<expert_number>> m_currentExperts;
    double m_mean = 0;
};

bool set_planner::improve()
{
    recomputeRankLoads();
    m_candidateLoads = m_rankLoads;
    m_loadSquares = sumOfSquares(m_rankLoads);
    const auto slowest = std::max_element(m_rankLoads.begin(), m_rankLoads.end());
    const double slowestBefore = *slowest;
    const auto busiest = static_cast<std::size_t>(slowest - m_rankLoads.begin());
    m_idlestRanks = firstRanks(maxTargets, [&](std::size_t left, std::size_t right) { return m_rankLoads[left] < m_rankLoads[right]; });
    m_busiestRanks = firstRanks(maxBusiest, [&](std::size_t left, std::size_t right) { return m_rankLoads[left] > m_rankLoads[right]; });
    std::optional<change> best;
    const std::vector<expert_number> candidates = m_plannedExperts[busiest];
    for (const expert_number expert : candidates) {
        for (const std::size_t target : m_idlestRanks) {
            if (target != busiest)
                evaluateTarget(busiest, expert, target, best);
        }
    }
    const bool lowersMaximum = best && best->slowestTime < slowestBefore - m_limits.minGain * m_mean;
    // If several ranks are equally busy, relieving one of them is progress although the maximum stays.
    const bool lowersLoadSquares = best && best->slowestTime <= slowestBefore && best->loadSquares < m_loadSquares * (1 - m_limits.minGain / 4);
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
