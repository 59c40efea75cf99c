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

struct rebalance_policy::evaluation {
    instant now;
    const map_planner& planner;
    std::span<const double> loads;
    popularity_change change = popularity_change::Steady;
    // For each layer: the time under the current map, and its lower bound.
    std::vector<double> times;
    std::vector<double> bounds;
    double stepTime = 0;
    double stepBound = 0;
    map_plan plan;
    double savedFraction = 0;
    double transferSeconds = 0;
    std::uint32_t moves = 0;
    std::uint32_t layersMoved = 0;
    std::uint32_t layersDeclined = 0;

    evaluation(
        instant at, const map_planner& mapPlanner, const expert_map& current, const popularity_observer& popularity)
        : now(at)
        , planner(mapPlanner)
        , loads(popularity.loads())
        , change(popularity.change())
    {
        const auto& shape = planner.shape();
        for (layer_index layer = 0; layer < shape.layers; ++layer) {
            times.push_back(layerTime(current, layer, loadsOf(loads, shape, layer), shape));
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
    if (m_lastSwitch && now < *m_lastSwitch + m_settings.minInterval)
        return "gap " + percent(gap) + ", but the last switch was too short a time ago";
    if (change == popularity_change::Spike)
        return "gap " + percent(gap) + " looks like a spike; waiting whether it lasts";
    return std::nullopt;
}

rebalance_decision rebalance_policy::decide(instant now, const map_planner& planner, const expert_map& current,
    const popularity_observer& popularity, transfer_budget& budget)
{
    rebalance_decision result;
    if (!popularity.ready()) {
        result.reason = "no complete window of counts yet";
        return result;
    }
    evaluation evaluation(now, planner, current, popularity);
    if (const auto reason = reasonToWait(now, evaluation.change, evaluation.gap())) {
        result.reason = *reason;
        return result;
    }
    evaluation.plan
        = planner.plan(current, evaluation.loads, { .tolerance = m_settings.targetGap, .allowMoves = false });
    for (layer_index layer = 0; layer < planner.shape().layers; ++layer) {
        if (evaluation.plan.layers[layer].time >= evaluation.times[layer]) {
            evaluation.plan.map.copyLayer(current, layer);
            evaluation.plan.layers[layer].time = evaluation.times[layer];
        }
        evaluation.savedFraction
            += (evaluation.times[layer] - evaluation.plan.layers[layer].time) / evaluation.stepTime;
    }
    addWorthwhileMoves(evaluation, budget);
    return finishDecision(evaluation, budget);
}

// Adds the layers whose moves pay off, those with the highest saving per byte first, as far as the budget allows.
void rebalance_policy::addWorthwhileMoves(evaluation& evaluation, const transfer_budget& budget) const
{
    std::vector<layer_index> candidates;
    for (layer_index layer = 0; layer < evaluation.planner.shape().layers; ++layer) {
        if (evaluation.plan.layers[layer].time > evaluation.bounds[layer] * (1 + m_settings.triggerGap))
            candidates.push_back(layer);
    }
    const auto moved = evaluation.planner.plan(
        evaluation.plan.map, evaluation.loads, { .tolerance = m_settings.targetGap, .allowMoves = true }, candidates);
    const auto savedBy = [&](layer_index layer) {
        return (evaluation.plan.layers[layer].time - moved.layers[layer].time) / evaluation.stepTime;
    };
    std::ranges::stable_sort(candidates, [&](auto a, auto b) {
        return savedBy(a) * moved.layers[b].moves > savedBy(b) * moved.layers[a].moves;
    });
    const auto secondsPerMove = double(evaluation.planner.shape().expertBytes) / double(budget.bytesPerSecond())
        * m_settings.loadingSlowdown * budget.priceFactor(evaluation.now);
    const auto horizonSeconds = secondsOf(horizon(evaluation.change));
    const auto affordable = budget.available(evaluation.now) / evaluation.planner.shape().expertBytes;
    for (const auto layer : candidates) {
        const auto cost = moved.layers[layer].moves * secondsPerMove;
        const bool pays = savedBy(layer) * horizonSeconds > m_settings.minSavingRatio * cost;
        if (!pays || evaluation.moves + moved.layers[layer].moves > affordable) {
            ++evaluation.layersDeclined;
            continue;
        }
        evaluation.savedFraction += savedBy(layer);
        evaluation.transferSeconds += cost;
        evaluation.moves += moved.layers[layer].moves;
        ++evaluation.layersMoved;
        evaluation.plan.map.copyLayer(moved.map, layer);
    }
}

rebalance_decision rebalance_policy::finishDecision(evaluation& evaluation, transfer_budget& budget)
{
    rebalance_decision result;
    result.bytes = evaluation.moves * evaluation.planner.shape().expertBytes;
    result.savedSeconds = evaluation.savedFraction * secondsOf(horizon(evaluation.change));
    result.costSeconds = secondsOf(m_settings.switchHold) + evaluation.transferSeconds;
    const auto summary = "gap " + percent(evaluation.gap()) + ", " + std::string(nameOf(evaluation.change)) + ": saves "
        + seconds(result.savedSeconds) + " over the horizon against " + seconds(result.costSeconds) + "; "
        + std::to_string(evaluation.moves) + " experts in " + std::to_string(evaluation.layersMoved) + " layers, "
        + std::to_string(evaluation.layersDeclined) + " layers not worth their moves";
    if (result.savedSeconds <= m_settings.minSavingRatio * result.costSeconds) {
        result.bytes = 0;
        result.reason = "kept: " + summary;
        return result;
    }
    if (!budget.reserve(evaluation.now, result.bytes)) {
        result.bytes = 0;
        result.reason = "kept, the weight store's budget is spent: " + summary;
        return result;
    }
    result.choice = evaluation.moves ? rebalance_choice::MoveExperts : rebalance_choice::Reshare;
    result.map = std::move(evaluation.plan.map);
    result.reason = (evaluation.moves ? "moved: " : "shares changed: ") + summary;
    m_lastSwitch = evaluation.now;
    return result;
}

decision journalEntry(instant now, const group_id& group, const rebalance_decision& rebalance)
{
    return { now, decision_kind::ExpertMap, group.str(), rebalance.reason };
}

} // namespace appleramp
