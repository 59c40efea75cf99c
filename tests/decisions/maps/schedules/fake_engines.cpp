#include "decisions/maps/schedules/fake_engines.h"

#include <algorithm>
#include <utility>

namespace appleramp::testing {

namespace {

using namespace std::chrono_literals;

constexpr duration stepTime = 20ms;

} // namespace

fake_engines::fake_engines(virtual_time& time, std::mt19937_64& random, std::uint32_t ranks, bool checkFencing)
    : m_time(time)
    , m_random(random)
    , m_checkFencing(checkFencing)
    , m_engines(ranks)
{
}

engine_state fake_engines::stateOf(const engine& engine) const
{
    return { engine.boot, engine.installed, engine.lastRun, engine.held, engine.holdBefore.has_value(),
        m_step + (engine.begun ? 1 : 0) };
}

void fake_engines::resetStandstill()
{
    m_standstill = {};
    m_lastStep = m_time.now();
}

void fake_engines::order(rank_index rank, const order_engine& order, answer reply)
{
    auto& engine = m_engines[rank];
    if (!engine.alive || (order.boot != 0 && order.boot != engine.boot))
        return;
    const auto boot = engine.boot;
    m_time.post(delayOf(engine, order.order), [this, rank, order, boot, reply = std::move(reply)] {
        auto& engine = m_engines[rank];
        if (!engine.alive || engine.boot != boot)
            return;
        const bool changes = !std::holds_alternative<read_engine>(order.order);
        const bool old = changes && m_checkFencing && order.fencing < engine.highestFencing;
        if (changes)
            engine.highestFencing = std::max(engine.highestFencing, order.fencing);
        const bool done = !old && carryOut(rank, order.order);
        reply(done, stateOf(m_engines[rank]));
    });
}

// Loading runs in parallel with other orders. All other orders are executed one after the other.
duration fake_engines::delayOf(engine& engine, const engine_order& order)
{
    const auto taken = timeFor(order);
    if (std::holds_alternative<prepare_engine>(order))
        return taken;
    engine.busyUntil = std::max(engine.busyUntil, m_time.now()) + taken;
    return engine.busyUntil - m_time.now();
}

duration fake_engines::timeFor(const engine_order& order)
{
    const auto between = [this](int low, int high) {
        return duration(std::uniform_int_distribution<int>(low, high)(m_random));
    };
    if (std::holds_alternative<prepare_engine>(order))
        return between(20'000, std::uniform_int_distribution<int>(0, 9)(m_random) ? 200'000 : 2'000'000);
    if (std::holds_alternative<install_engine>(order))
        return between(5'000, 50'000);
    return between(100, 500);
}

bool fake_engines::carryOut(rank_index rank, const engine_order& order)
{
    return std::visit([&](const auto& body) { return carryOut(rank, body); }, order);
}

bool fake_engines::carryOut(rank_index, const read_engine&)
{
    return true;
}

bool fake_engines::carryOut(rank_index rank, const prepare_engine& order)
{
    m_engines[rank].loaded.insert(order.version);
    return true;
}

bool fake_engines::carryOut(rank_index rank, const hold_engine& order)
{
    auto& engine = m_engines[rank];
    const auto next = m_step + (engine.begun ? 1 : 0);
    if (next > order.beforeStep)
        return true;
    if (!engine.begun && next == order.beforeStep) {
        hold(engine);
        return true;
    }
    engine.holdBefore = order.beforeStep;
    release(engine);
    tryBegin(rank);
    return true;
}

bool fake_engines::carryOut(rank_index rank, const install_engine& order)
{
    auto& engine = m_engines[rank];
    if (!engine.held || !engine.loaded.contains(order.version))
        return false;
    if (std::uniform_real_distribution<double>()(m_random) >= falseInstallProbability)
        engine.installed = order.version;
    return true;
}

bool fake_engines::carryOut(rank_index rank, const resume_engine&)
{
    auto& engine = m_engines[rank];
    engine.holdBefore.reset();
    release(engine);
    tryBegin(rank);
    return true;
}

void fake_engines::hold(engine& engine)
{
    engine.holdBefore.reset();
    if (engine.held)
        return;
    engine.held = true;
    engine.heldSince = m_time.now();
}

void fake_engines::release(engine& engine)
{
    if (engine.held && engine.heldSince)
        m_longestHold = std::max(m_longestHold, m_time.now() - *std::exchange(engine.heldSince, std::nullopt));
    engine.held = false;
}

void fake_engines::tryBegin(rank_index rank)
{
    auto& engine = m_engines[rank];
    if (!engine.alive || engine.held || engine.begun)
        return;
    if (engine.holdBefore && m_step >= *engine.holdBefore) {
        hold(engine);
        changed(rank, stateOf(engine));
        return;
    }
    const auto runsOther = [&](const auto& other) { return other.begun && other.lastRun != engine.installed; };
    if (std::ranges::any_of(m_engines, runsOther))
        ++m_mixed;
    engine.begun = true;
    engine.lastRun = engine.installed;
    endStepIfAllBegan();
}

void fake_engines::endStepIfAllBegan()
{
    const auto began = [](const auto& engine) { return engine.alive && engine.begun; };
    if (m_ending || !std::ranges::all_of(m_engines, began))
        return;
    m_ending = true;
    m_time.post(stepTime, [this] { endStep(); });
}

void fake_engines::endStep()
{
    m_ending = false;
    const auto began = [](const auto& engine) { return engine.alive && engine.begun; };
    if (!std::ranges::all_of(m_engines, began))
        return;
    ++m_step;
    m_standstill = standstill();
    m_lastStep = m_time.now();
    for (auto& engine : m_engines)
        engine.begun = false;
    for (std::size_t index = 0; index < m_engines.size(); ++index) {
        const auto rank = rank_index(index);
        const duration jitter(std::uniform_int_distribution<int>(0, 1000)(m_random));
        m_time.post(jitter + std::exchange(m_engines[rank].stall, {}), [this, rank] { tryBegin(rank); });
    }
}

void fake_engines::endStall(rank_index rank)
{
    m_engines[rank].stall = {};
    tryBegin(rank);
}

void fake_engines::kill(rank_index rank)
{
    auto& engine = m_engines[rank];
    engine.alive = false;
    engine.begun = false;
}

void fake_engines::start(rank_index rank)
{
    auto& old = m_engines[rank];
    if (old.alive)
        return;
    engine fresh;
    fresh.boot = old.boot + 1;

    old = std::move(fresh);
    changed(rank, stateOf(old));
}

} // namespace appleramp::testing
