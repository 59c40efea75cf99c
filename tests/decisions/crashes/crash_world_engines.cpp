#include "decisions/crashes/crash_world_state.h"

#include <algorithm>

// The engines of the world: what they run, and how they die and come back.

namespace appleramp::tests {

using namespace std::chrono_literals;

namespace {

// Agents report the end of their engine this often.
constexpr int deathReports = 5;
constexpr duration reportInterval = 80ms;

} // namespace

void crash_world::reachEngine(std::size_t entry, const send_attempt& attempt)
{
    const auto found = std::find_if(m_engines.begin(), m_engines.end(), [&](const auto& engine) { return engine->address == attempt.address; });
    const std::uint64_t number = ++m_lastRun;
    entry_state& state = *m_entries[entry];
    const simulated_request content = state.requests.at(attempt.request);
    m_runs[number] = { entry, state.life, attempt.request, static_cast<std::size_t>(found - m_engines.begin()), content };
    state.runs[attempt.request] = number;
    const engine_state& engine = **found;
    if (!engine.up)
        return schedule(1ms, [this, number] { endRun(number, attempt_ending::NotSent); });
    if (engine.id != attempt.endpoint)
        return schedule(1ms, [this, number] { endRun(number, attempt_ending::WrongEndpoint); });
    if (content.crashesEngines)
        m_crashingSends.push_back({ now(), isInTouch(entry) });
    if (!groupServes())
        return schedule(1ms, [this, number] { endRun(number, attempt_ending::Rejected); });
    schedule(duration(static_cast<duration::rep>(fraction() * static_cast<double>(m_settings.maxBeginDelay.count()))), [this, number] { beginRun(number); });
}

void crash_world::beginRun(std::uint64_t number)
{
    const auto found = m_runs.find(number);
    if (found == m_runs.end() || !groupServes())
        return;
    if (found->second.content.crashesEngines) {
        m_crashes.push_back(now());
        return killEngine(found->second.engine);
    }
    writeEvent(number);
}

void crash_world::writeEvent(std::uint64_t number)
{
    const auto found = m_runs.find(number);
    if (found == m_runs.end() || !groupServes())
        return;
    run& current = found->second;
    const std::size_t entry = current.entry;
    if (current.events == m_settings.events) {
        const request_number request = current.request;
        m_runs.erase(found);
        m_entries[entry]->runs.erase(request);
        return post(entry, attempt_succeeded { now(), request });
    }
    if (const auto outcome = m_sound.find(current.request); outcome != m_sound.end() && current.events == 0)
        outcome->second.begunAtFirstAttempt = true;
    const auto pause = current.events++ == 0 ? std::nullopt : std::optional(m_settings.eventInterval);
    post(entry, stream_advanced { now(), current.request, pause });
    schedule(m_settings.eventInterval, [this, number] { writeEvent(number); });
}

void crash_world::killEngine(std::size_t engine)
{
    ++m_deaths;
    m_engines[engine]->up = false;
    m_groupOpensAt = now() + m_settings.groupOutage;
    std::vector<std::uint64_t> running;
    for (const auto& [number, run] : m_runs) {
        if (run.engine == engine)
            running.push_back(number);
    }
    for (const std::uint64_t number : running)
        endRun(number, attempt_ending::TruncatedAnswer);
    for (int report = 1; m_settings.agentsReportDeaths && report <= deathReports; ++report)
        schedule(report * reportInterval, [this, address = m_engines[engine]->address, started = m_engines[engine]->startedAtMs] { reportDeath(address, started); });
    schedule(m_settings.stall, [this, engine] { stallGroup(engine); });
    schedule(m_settings.engineRestart, [this, engine] { restartEngine(engine); });
}

void crash_world::killEngines(std::size_t count)
{
    for (std::size_t engine = 0; engine < count; ++engine) {
        if (m_engines[engine]->up)
            killEngine(engine);
    }
}

void crash_world::reportDeath(const std::string& address, std::uint64_t startedAtMs)
{
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        if (fraction() >= m_settings.datagramLoss)
            schedule(m_settings.datagramDelay, [this, entry, address, startedAtMs] { post(entry, endpoint_death_reported { now(), address, startedAtMs }); });
    }
}

void crash_world::stallGroup(std::size_t dead)
{
    std::vector<std::uint64_t> running;
    for (const auto& [number, run] : m_runs) {
        if (run.engine != dead)
            running.push_back(number);
    }
    for (const std::uint64_t number : running) {
        const auto found = m_runs.find(number);
        if (found != m_runs.end())
            endRun(number, found->second.events > 0 ? attempt_ending::TruncatedAnswer : attempt_ending::Rejected);
    }
}

void crash_world::restartEngine(std::size_t engine)
{
    engine_state& state = *m_engines[engine];
    const endpoint_id before = state.id;
    state.id = endpoint_id("i-" + std::to_string(++m_lastEngineId));
    state.startedAtMs = m_lastEngineId;
    state.up = true;
    const std::vector<endpoint_record> listed = registry();
    const endpoint_record& record = listed.at(engine);
    schedule(m_settings.registryDelay, [this, record] {
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
            post(entry, endpoint_listed { now(), record });
    });
    schedule(m_settings.registryExpiry - m_settings.engineRestart, [this, before] {
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
            post(entry, endpoint_unlisted { now(), before });
    });
}

void crash_world::endRun(std::uint64_t number, attempt_ending ending)
{
    const auto found = m_runs.find(number);
    if (found == m_runs.end())
        return;
    const run ended = found->second;
    m_runs.erase(found);
    entry_state& state = *m_entries[ended.entry];
    if (state.life != ended.life)
        return;
    state.runs.erase(ended.request);
    post(ended.entry, attempt_ended { now(), ended.request, ending, ended.events > 0, {} });
}

} // namespace appleramp::tests
