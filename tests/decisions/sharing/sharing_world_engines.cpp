#include "decisions/sharing/sharing_world.h"

#include "decisions/sharing/sharing_world_state.h"

#include <algorithm>
#include <numeric>
#include <utility>

// The engines of the world, and what callers got.

namespace appleramp::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration reportInterval = 100ms;
constexpr duration eventInterval = 300ms;

} // namespace

void sharing_world::reportLoads()
{
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        engine_state& state = *m_engines[engine];
        if (state.isGone)
            continue;
        endpoint_load load { addressOf(engine), static_cast<std::uint32_t>(state.running.size()), static_cast<std::uint32_t>(state.queue.size()), 1.0, true };
        load.startedAtMs = engine + 1;
        load.subscribers = static_cast<std::uint32_t>(m_entries.size());
        // Reports of one engine do not overtake each other.
        const double reportAge = static_cast<double>(engine + 1) / static_cast<double>(m_engines.size());
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            schedule(scaledBy(m_settings.reportDelay, reportAge), [this, entry, load, life = m_entries[entry]->life] {
                whenAwake(entry, life, [this, entry, load] { post(entry, endpoint_load_received { now(), load }); });
            });
        }
    }
    schedule(reportInterval, [this] { reportLoads(); });
}

void sharing_world::reachEngine(std::size_t entry, const send_attempt& attempt)
{
    checkInvariants(entry, attempt.request);
    const auto number = static_cast<std::size_t>(std::stoul(attempt.endpoint.str().substr(2)));
    schedule(1ms, [this, entry, life = m_entries[entry]->life, number, attempt] {
        engine_state& engine = *m_engines[number];
        const caller_state& caller = m_callers[m_sends.at(attempt.request)];
        if (caller.hasLeft)
            return;
        if (engine.isGone || now() < m_closedUntil || engine.queue.size() >= m_settings.queuePlaces) {
            whenAwake(entry, life, [this, entry, attempt] { post(entry, attempt_ended { now(), attempt.request, attempt_ending::Rejected, false, {} }); });
            return;
        }
        engine.queue.emplace(std::pair(attempt.urgencyRank, ++engine.arrivals), attempt.request);
        startRunning(number);
    });
}

void sharing_world::startRunning(std::size_t number)
{
    engine_state& engine = *m_engines[number];
    while (engine.running.size() < m_settings.slots && !engine.queue.empty()) {
        const request_number request = engine.queue.begin()->second;
        engine.queue.erase(engine.queue.begin());
        engine.running.insert(request);
        schedule(m_settings.promptTime, [this, number, request] { sendEvent(number, request); });
        schedule(scaledBy(m_settings.slotTime, 0.8 + 0.4 * fraction()), [this, number, request] { endOnEngine(number, request); });
    }
}

void sharing_world::sendEvent(std::size_t number, request_number request)
{
    const caller_state& caller = m_callers[m_sends.at(request)];
    if (!m_engines[number]->running.contains(request) || caller.send != request)
        return;
    whenAwake(caller.entry, m_entries[caller.entry]->life, [this, request, entry = caller.entry, index = m_sends.at(request)] {
        if (!m_callers[index].isOver && m_callers[index].firstEventAt == instant {})
            m_callers[index].firstEventAt = now();
        post(entry, stream_advanced { now(), request, std::nullopt });
    });
    schedule(eventInterval, [this, number, request] { sendEvent(number, request); });
}

void sharing_world::endOnEngine(std::size_t number, request_number request)
{
    if (m_engines[number]->running.erase(request) == 0)
        return;
    caller_state& caller = m_callers[m_sends.at(request)];
    if (caller.send == request)
        whenAwake(caller.entry, m_entries[caller.entry]->life, [this, request, entry = caller.entry, index = m_sends.at(request)] {
            if (!m_callers[index].isOver)
                m_callers[index].isServed = m_callers[index].isOver = true;
            post(entry, attempt_succeeded { now(), request });
        });
    startRunning(number);
}

void sharing_world::leaveEngine(request_number number)
{
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        std::erase_if(m_engines[engine]->queue, [number](const auto& each) { return each.second == number; });
        if (m_engines[engine]->running.erase(number) > 0)
            startRunning(engine);
    }
}

std::size_t sharing_world::running() const
{
    return std::accumulate(m_engines.begin(), m_engines.end(), std::size_t { 0 }, [](std::size_t sum, const auto& engine) { return sum + engine->running.size(); });
}

std::size_t sharing_world::queued() const
{
    return std::accumulate(m_engines.begin(), m_engines.end(), std::size_t { 0 }, [](std::size_t sum, const auto& engine) { return sum + engine->queue.size(); });
}

caller_results sharing_world::results(duration from, duration until, int kind, int team, int impatient) const
{
    caller_results results;
    for (const caller_state& caller : m_callers) {
        const bool isCounted = caller.arrivedAt >= instant(from) && caller.arrivedAt < instant(until) && (kind < 0 || caller.kind == static_cast<std::size_t>(kind))
            && (team < 0 || caller.team == static_cast<std::size_t>(team)) && (impatient < 0 || caller.isImpatient == (impatient > 0));
        if (!isCounted)
            continue;
        const caller_kind& each = m_settings.kinds[caller.kind];
        ++results.callers;
        results.mostWorth += each.worth;
        if (caller.hasLeft)
            ++results.left;
        else if (!caller.isServed)
            ++results.refused;
        else if (caller.firstEventAt - caller.arrivedAt <= each.latencyTarget) {
            ++results.onTime;
            results.worth += each.worth;
        } else {
            ++results.late;
            results.worth += each.worthLate;
        }
    }
    return results;
}

double sharing_world::possibleWorth(duration from, duration until) const
{
    double capacity = static_cast<double>(m_engines.size() * m_settings.slots) / std::chrono::duration<double>(m_settings.slotTime).count()
        * std::chrono::duration<double>(until - from).count();
    std::vector<std::pair<double, double>> byWorth;
    for (std::size_t kind = 0; kind < m_settings.kinds.size(); ++kind)
        byWorth.emplace_back(m_settings.kinds[kind].worth, static_cast<double>(results(from, until, static_cast<int>(kind)).callers));
    std::sort(byWorth.rbegin(), byWorth.rend());
    double worth = 0;
    for (const auto& [each, callers] : byWorth) {
        const double served = std::min(callers, capacity);
        worth += each * served;
        capacity -= served;
    }
    return worth;
}

} // namespace appleramp::tests
