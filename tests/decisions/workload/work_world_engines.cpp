#include "decisions/workload/work_world_state.h"

#include <algorithm>

// The engines of the model, and the reports of their agents.

using namespace std::chrono_literals;

namespace appleramp::tests {

void work_world::reach(const std::shared_ptr<attempt>& arriving)
{
    engine_state& engine = *m_engines[arriving->engine];
    ++engine.arrivals;
    if (!engine.isAlive)
        return end(arriving, attempt_ending::NotSent);
    if (fraction() < engine.failing)
        return m_events.runAfter(5ms, [this, arriving] { end(arriving, attempt_ending::NoAnswer); });
    engine.waiting.push_back(arriving);
}

// Requests take free slots at the start of a pass, and prompts are read in the order of arrival.
duration work_world::passTime(engine_state& engine)
{
    const engine_speed figures = speed();
    for (auto* const held : { &engine.running, &engine.waiting })
        std::erase_if(*held, [](const auto& each) { return each->isOver; });
    while (!engine.waiting.empty() && engine.running.size() < m_settings.slots) {
        engine.running.push_back(engine.waiting.front());
        request_outcome& outcome = m_outcomes[engine.running.back()->number];
        outcome.slotWait = now() - outcome.arrivedAt;
        engine.waiting.erase(engine.waiting.begin());
    }
    double writers = 0;
    double context = 0;
    double budget = figures.chunkTokens * figures.stepsPerPass;
    double reading = 0;
    for (const auto& each : engine.running) {
        if (each->unreadTokens <= 0) {
            ++writers;
            context += each->contextTokens;
            continue;
        }
        const double tokens = std::min(each->unreadTokens, budget);
        each->unreadTokens -= tokens;
        // Marks prompts that this pass finishes; they generate from the next one on.
        if (each->unreadTokens <= 0)
            each->unreadTokens = 1e-9;
        budget -= tokens;
        reading += tokens / figures.promptTokensPerSecond * 1e3 + figures.pairMillisecondsPerMillion * tokens * each->contextTokens / 1e6;
    }
    // The experts of an idle rank are moved away, so that it delays nobody.
    if (engine.running.empty())
        return {};
    const double step = 4.84 + 0.6 * writers + figures.contextMillisecondsPerThousand * context / 1e3;
    return duration(static_cast<duration::rep>((figures.stepsPerPass * step + reading) * engine.slowdown * 1e3));
}

void work_world::beginPass(const std::vector<std::size_t>& group)
{
    duration longest {};
    for (const std::size_t engine : group) {
        if (m_engines[engine]->isAlive)
            longest = std::max(longest, passTime(*m_engines[engine]));
    }
    m_events.runAfter(std::max(longest, duration(1ms)), [this, group] { endPass(group); });
}

void work_world::endPass(const std::vector<std::size_t>& group)
{
    for (const std::size_t number : group) {
        const auto running = m_engines[number]->running;
        for (const auto& each : running) {
            if (each->isOver)
                continue;
            if (each->unreadTokens > 0) {
                if (each->unreadTokens < 1e-6)
                    each->unreadTokens = 0;
                continue;
            }
            request_outcome& outcome = m_outcomes[each->number];
            const bool isFirst = !std::exchange(each->hasBegun, true);
            const duration pause = now() - each->lastEvent;
            each->lastEvent = now();
            each->contextTokens += 7;
            if (!outcome.firstEvent)
                outcome.firstEvent = now() - outcome.arrivedAt;
            if (!isFirst)
                outcome.longestPause = std::max(outcome.longestPause, pause);
            post(each->entry, stream_advanced { now(), each->number, isFirst ? std::nullopt : std::optional(pause) });
            if (--each->eventsLeft > 0 || each->isOver)
                continue;
            each->isOver = true;
            outcome.isServed = true;
            post(each->entry, attempt_succeeded { now(), each->number });
            m_attempts.erase(each->number);
        }
    }
    beginPass(group);
}

void work_world::report(std::size_t number)
{
    const engine_state& engine = *m_engines[number];
    if (!engine.isAlive)
        return;
    m_events.runAfter(m_settings.reportInterval, [this, number] { report(number); });
    endpoint_load load;
    load.address = record(number).address;
    load.running = static_cast<std::uint32_t>(engine.running.size());
    load.waiting = static_cast<std::uint32_t>(engine.waiting.size());
    load.slowdownFactor = engine.reportsSlowdown ? engine.slowdown : 1;
    load.subscribers = static_cast<std::uint32_t>(std::count_if(m_subsets.begin(), m_subsets.end(), [&](const auto& subset) { return subset.contains(load.address); }));
    for (const auto& each : engine.running)
        load.memoryUsed += each->contextTokens;
    load.memoryTotal = speed().memoryTokens;
    m_events.runAfter(m_settings.reportDelay, [this, load, zone = engine.zone] {
        for (std::size_t entry = 0; entry < m_reducers.size(); ++entry) {
            const auto cut = m_cuts.find(entry);
            const bool isCut = cut != m_cuts.end() && cut->second == zone;
            if (m_subsets[entry].contains(load.address) && m_silentZone != zone && !isCut)
                post(entry, endpoint_load_received { now(), load });
        }
    });
}

} // namespace appleramp::tests
