#include "one_queue_fleet.h"

namespace appleramp::zones {

one_queue_fleet::one_queue_fleet(virtual_time& time, const scenario& scenario, run_log& log)
    : m_time(time)
    , m_scenario(scenario)
    , m_callers(log, scenario)
{
    for (std::size_t engine = 0; engine < scenario.fleet.engines; ++engine) {
        engine_listener listener;
        listener.head = [](std::uint64_t /*call*/) {};
        listener.chunk = [this](std::uint64_t call) { m_callers.chunk(call, m_time.now()); };
        listener.end = [this](std::uint64_t call) {
            m_callers.end(call, m_time.now(), true);
            drain();
        };
        listener.failed = [this](std::uint64_t call, bool /*neverSent*/) {
            m_callers.end(call, m_time.now(), false);
        };
        m_engines.push_back(std::make_unique<engine_fake>(time, scenario.engine, std::move(listener)));
    }
}

void one_queue_fleet::send(std::size_t request, std::size_t /*team*/, std::size_t /*random*/)
{
    const auto latest = m_time.now() + firstTokenBound - m_scenario.engine.firstToken - m_scenario.fleet.toCallers;
    m_time.after(m_scenario.fleet.toCallers, [this, request, latest] {
        m_waiting.push_back({ request, latest });
        drain();
    });
}

void one_queue_fleet::drain()
{
    while (!m_waiting.empty()) {
        const auto next = m_waiting.front();
        if (next.latestStart < m_time.now()) {
            m_callers.end(next.request, m_time.now(), false);
            m_waiting.pop_front();
            continue;
        }
        auto* engine = freeEngine();
        if (!engine)
            return;
        m_waiting.pop_front();
        m_callers.attempt(next.request);
        engine->start(next.request);
    }
}

engine_fake* one_queue_fleet::freeEngine()
{
    engine_fake* best = nullptr;
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        auto& candidate = *m_engines[engine];
        const bool isOut = m_zoneOut && engine % zoneCount == zoneOut;
        const auto bears = candidate.isCold() ? m_scenario.engine.coldBatch : m_scenario.engine.warmBatch;
        if (isOut || !candidate.isUp() || candidate.running() >= bears)
            continue;
        if (!best || candidate.running() < best->running())
            best = &candidate;
    }
    return best;
}

void one_queue_fleet::takeZone(bool out) { m_zoneOut = out; }

void one_queue_fleet::rebootZone()
{
    for (std::size_t engine = zoneOut; engine < m_engines.size(); engine += zoneCount)
        m_engines[engine]->reboot();
}

} // namespace appleramp::zones
