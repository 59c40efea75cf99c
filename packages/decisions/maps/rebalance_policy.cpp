#include "decisions/maps/rebalance_policy.h"

#include "decisions/maps/lower_bound.h"
#include "decisions/maps/transfer_budget.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace appleramp {

namespace {

std::string percent(double part)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f%%", part * 100);
    return text;
}

std::string seconds(double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f s", value);
    return text;
}

std::string_view nameOf(popularity_change change)
{
    switch (change) {
    case popularity_change::Steady:
        return "steady";
    case popularity_change::Noise:
        return "noise";
    case popularity_change::Spike:
        return "spike";
    case popularity_change::Drift:
        return "drift";
    }
    return "unknown";
}

double secondsOf(duration time)
{
    return std::chrono::duration<double>(time).count();
}

std::span<const double> loadsOf(std::span<const double> loads, const group_shape& shape, layer_index layer)
{
    return loads.subspan(std::size_t(layer) * shape.experts, shape.experts);
}

} // namespace

struct rebalance_policy::weighing {
    instant now;
    const map_planner& planner;
    std::span<const double> loads;
    popularity_change change = popularity_change::Steady;
    // Per layer: today's time and the lower bound.
    std::vector<double> times;
    std::vector<double> bounds;
    double stepTime = 0;
    double stepBound = 0;
    map_plan plan;
    double savedPart = 0;
    double transferSeconds = 0;
    std::uint32_t moves = 0;
    std::uint32_t layersMoved = 0;
    std::uint32_t layersDeclined = 0;

    weighing(instant at, const map_planner& mapPlanner, const expert_map& today, const popularity_observer& popularity)
        : now(at)
        , planner(mapPlanner)
        , loads(popularity.loads())
        , change(popularity.change())
    {
        const auto& shape = planner.shape();
        for (layer_index layer = 0; layer < shape.layers; ++layer) {
            times.push_back(layerTime(today, layer, loadsOf(loads, shape, layer), shape));
            bounds.push_back(layerTimeBound(loadsOf(loads, shape, layer), shape));
        }
        stepTime = std::accumulate(times.begin(), times.end(), 0.0);
        stepBound = std::accumulate(bounds.begin(), bounds.end(), 0.0);
    }

    double gap() const { return stepTime / stepBound - 1; }
};

rebalance_policy::rebalance_policy(rebalance_settings settings)
    : m_settings(settings)
{
}

duration rebalance_policy::horizon(popularity_change change) const
{
    switch (change) {
    case popularity_change::Drift:
        return m_settings.driftHorizon;
    case popularity_change::Noise:
    case popularity_change::Spike:
        return m_settings.noiseHorizon;
    case popularity_change::Steady:
        break;
    }
    return m_settings.steadyHorizon;
}

std::optional<std::string> rebalance_policy::reasonToWait(instant now, popularity_change change, double gap) const
{
    if (gap < m_settings.triggerGap)
        return "gap " + percent(gap) + " to the lower bound is below the trigger " + percent(m_settings.triggerGap);
    if (m_lastSwitch && now < *m_lastSwitch + m_settings.leastInterval)
        return "gap " + percent(gap) + ", but the last switch was too short a time ago";
    if (change == popularity_change::Spike)
        return "gap " + percent(gap) + " looks like a spike; waiting whether it lasts";
    return std::nullopt;
}

rebalance_decision rebalance_policy::decide(instant now, const map_planner& planner, const expert_map& today,
    const popularity_observer& popularity, transfer_budget& budget)
{
    rebalance_decision result;
    if (!popularity.ready()) {
        result.reason = "no complete window of counts yet";
        return result;
    }
    weighing weighing(now, planner, today, popularity);
    if (const auto reason = reasonToWait(now, weighing.change, weighing.gap())) {
        result.reason = *reason;
        return result;
    }
    weighing.plan = planner.plan(today, weighing.loads, { .tolerance = m_settings.targetGap, .allowMoves = false });
    for (layer_index layer = 0; layer < planner.shape().layers; ++layer) {
        if (weighing.plan.layers[layer].time >= weighing.times[layer]) {
            weighing.plan.map.copyLayer(today, layer);
            weighing.plan.layers[layer].time = weighing.times[layer];
        }
        weighing.savedPart += (weighing.times[layer] - weighing.plan.layers[layer].time) / weighing.stepTime;
    }
    addMoves(weighing, budget);
    return conclude(weighing, budget);
}

// Adds the layers whose moves pay for themselves, best gain per byte first, as far as the budget reaches.
void rebalance_policy::addMoves(weighing& weighing, const transfer_budget& budget) const
{
    std::vector<layer_index> wanting;
    for (layer_index layer = 0; layer < weighing.planner.shape().layers; ++layer) {
        if (weighing.plan.layers[layer].time > weighing.bounds[layer] * (1 + m_settings.triggerGap))
            wanting.push_back(layer);
    }
    const auto moved = weighing.planner.plan(
        weighing.plan.map, weighing.loads, { .tolerance = m_settings.targetGap, .allowMoves = true }, wanting);
    const auto savedBy = [&](layer_index layer) {
        return (weighing.plan.layers[layer].time - moved.layers[layer].time) / weighing.stepTime;
    };
    std::ranges::stable_sort(wanting, [&](auto a, auto b) {
        return savedBy(a) * moved.layers[b].moves > savedBy(b) * moved.layers[a].moves;
    });
    const auto secondsPerMove = double(weighing.planner.shape().expertBytes) / double(budget.bytesPerSecond())
        * m_settings.loadingSlowdown * budget.priceFactor(weighing.now);
    const auto lasts = secondsOf(horizon(weighing.change));
    const auto affordable = budget.available(weighing.now) / weighing.planner.shape().expertBytes;
    for (const auto layer : wanting) {
        const auto cost = moved.layers[layer].moves * secondsPerMove;
        const bool pays = savedBy(layer) * lasts > m_settings.margin * cost;
        if (!pays || weighing.moves + moved.layers[layer].moves > affordable) {
            ++weighing.layersDeclined;
            continue;
        }
        weighing.savedPart += savedBy(layer);
        weighing.transferSeconds += cost;
        weighing.moves += moved.layers[layer].moves;
        ++weighing.layersMoved;
        weighing.plan.map.copyLayer(moved.map, layer);
    }
}

rebalance_decision rebalance_policy::conclude(weighing& weighing, transfer_budget& budget)
{
    rebalance_decision result;
    result.bytes = weighing.moves * weighing.planner.shape().expertBytes;
    result.savedSeconds = weighing.savedPart * secondsOf(horizon(weighing.change));
    result.costSeconds = secondsOf(m_settings.switchHold) + weighing.transferSeconds;
    const auto account = "gap " + percent(weighing.gap()) + ", " + std::string(nameOf(weighing.change)) + ": saves "
        + seconds(result.savedSeconds) + " over the horizon against " + seconds(result.costSeconds) + "; "
        + std::to_string(weighing.moves) + " experts in " + std::to_string(weighing.layersMoved) + " layers, "
        + std::to_string(weighing.layersDeclined) + " layers not worth their moves";
    if (result.savedSeconds <= m_settings.margin * result.costSeconds) {
        result.bytes = 0;
        result.reason = "kept: " + account;
        return result;
    }
    if (!budget.reserve(weighing.now, result.bytes)) {
        result.bytes = 0;
        result.reason = "kept, the weight store's budget is spent: " + account;
        return result;
    }
    result.choice = weighing.moves ? rebalance_choice::MoveExperts : rebalance_choice::Reshare;
    result.map = std::move(weighing.plan.map);
    result.reason = (weighing.moves ? "moved: " : "shares changed: ") + account;
    m_lastSwitch = weighing.now;
    return result;
}

decision journalEntry(instant now, const group_id& group, const rebalance_decision& rebalance)
{
    return { now, decision_kind::ExpertMap, group.str(), rebalance.reason };
}

} // namespace appleramp
