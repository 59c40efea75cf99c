#include "baseline_fleet.h"

#include <algorithm>

namespace appleramp::zones {

namespace {

constexpr std::uint64_t maxSends = 3;

} // namespace

baseline_fleet::baseline_fleet(virtual_time& time, const scenario& scenario, baseline_policy policy, run_log& log)
    : m_time(time)
    , m_scenario(scenario)
    , m_policy(policy)
    , m_log(log)
    , m_callers(log, scenario)
{
    const auto relay = [this](auto action) {
        return [this, action](std::uint64_t call) {
            m_time.after(m_scenario.fleet.betweenZones, [action, call] { action(call); });
        };
    };
    for (std::size_t engine = 0; engine < scenario.fleet.engines; ++engine) {
        engine_listener listener;
        listener.head = relay([this](std::uint64_t call) { m_attempts[call].hasHead = true; });
        listener.chunk = relay([this](std::uint64_t call) { m_callers.chunk(m_attempts[call].request, m_time.now()); });
        listener.end = relay([this](std::uint64_t call) { finish(call, true); });
        listener.failed = [this](std::uint64_t call, bool /*neverSent*/) {
            m_time.after(m_scenario.fleet.betweenZones, [this, call] { failed(call); });
        };
        m_engines.push_back(std::make_unique<engine_fake>(time, scenario.engine, std::move(listener)));
    }
    m_entries.resize(scenario.fleet.entries);
    for (auto& entry : m_entries)
        entry.outstanding.resize(scenario.fleet.engines);
}

void baseline_fleet::send(std::size_t request, std::size_t /*team*/, std::size_t random)
{
    const auto entry = random % m_entries.size();
    m_time.after(m_scenario.fleet.toCallers, [this, request, entry] { dispatch(request, entry); });
    m_time.after(callerTimeout, [this, request] { giveUp(request); });
}

void baseline_fleet::giveUp(std::size_t request)
{
    const auto call = m_latest[request];
    if (m_attempts[call].done)
        return;
    m_engines[m_attempts[call].engine]->cancel(call);
    finish(call, false);
}

void baseline_fleet::dispatch(std::size_t request, std::size_t entry)
{
    auto& state = m_entries[entry];
    const auto engine = choose(state);
    const std::uint64_t call = m_attempts.size();
    m_attempts.push_back({ request, entry, engine });
    ++state.outstanding[engine];
    m_callers.attempt(request);
    m_latest.resize(std::max(m_latest.size(), request + 1));
    m_latest[request] = call;
    m_time.after(m_scenario.fleet.betweenZones, [this, engine, call] {
        if (isOut(engine) && m_time.now() > m_log.taken + lateAfter)
            ++m_log.lateZoneWork;
        m_engines[engine]->start(call);
    });
}

std::size_t baseline_fleet::choose(entry_state& entry) const
{
    const auto count = m_engines.size();
    std::size_t best = count;
    for (std::size_t step = 0; step < count; ++step) {
        const auto engine = (entry.next + step) % count;
        if (isOut(engine))
            continue;
        if (best == count || entry.outstanding[engine] < entry.outstanding[best])
            best = engine;
        if (m_policy == baseline_policy::RoundRobin)
            break;
    }
    entry.next = best + 1;
    return best;
}

void baseline_fleet::finish(std::uint64_t call, bool answered)
{
    auto& attempt = m_attempts[call];
    if (attempt.done)
        return;
    attempt.done = true;
    --m_entries[attempt.entry].outstanding[attempt.engine];
    m_callers.end(attempt.request, m_time.now(), answered);
}

void baseline_fleet::failed(std::uint64_t call)
{
    auto& attempt = m_attempts[call];
    if (attempt.done)
        return;
    if (attempt.hasHead || m_log.callers[attempt.request].attempts >= maxSends) {
        finish(call, false);
        return;
    }
    attempt.done = true;
    --m_entries[attempt.entry].outstanding[attempt.engine];
    dispatch(attempt.request, attempt.entry);
}

void baseline_fleet::takeZone(bool out) { m_zoneOut = out; }

void baseline_fleet::rebootZone()
{
    for (std::size_t engine = zoneOut; engine < m_engines.size(); engine += zoneCount)
        m_engines[engine]->reboot();
}

std::uint64_t baseline_fleet::coldOverloads() const
{
    std::uint64_t sum = 0;
    for (const auto& engine : m_engines)
        sum += engine->coldOverloads();
    return sum;
}

} // namespace appleramp::zones
