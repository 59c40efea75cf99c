#include "fakes/fake_endpoint.h"

#include <algorithm>

namespace appleramp::tests {

namespace {

constexpr duration connectDelay = std::chrono::microseconds(300);
constexpr std::size_t answerChunks = 4;
constexpr int coldSlowdown = 3;

} // namespace

std::vector<std::string> expectedAnswer(const service_request& request)
{
    std::vector<std::string> chunks;
    for (std::size_t index = 0; index < answerChunks; ++index)
        chunks.push_back(request.service.str() + "|" + request.body + "|" + std::to_string(index) + "\n");
    return chunks;
}

fake_endpoint::fake_endpoint(event_queue& queue, std::uint64_t seed, fake_endpoint_options options,
    execution_listener onExecution)
    : m_queue(queue)
    , m_random(seed)
    , m_options(options)
    , m_onExecution(std::move(onExecution))
{
}

void fake_endpoint::attach(event_sink sink)
{
    m_sink = std::move(sink);
    ++m_agentGeneration;
}

void fake_endpoint::start(const call_engine& effect)
{
    if (!m_isUp) {
        const auto round = m_agentGeneration;
        m_queue.runAfter(connectDelay, [this, round, number = effect.call] {
            report(round, engine_failed { number, failure_cause::EndpointCrashed, true });
        });
        return;
    }
    const auto call = ++m_lastCall;
    m_calls[call] = { effect.request, m_agentGeneration, effect.call };
    if (running() > currentCapacity()) {
        ++m_overloads;
        crash();
        return;
    }
    scheduleWork(call);
}

void fake_endpoint::scheduleWork(std::uint64_t call)
{
    std::uniform_int_distribution<duration::rep> work(m_options.shortestWork.count(), m_options.longestWork.count());
    const duration whole(work(m_random) * (isCold() ? coldSlowdown : 1));
    m_queue.runAfter(whole / 2, [this, call] { execute(call); });
    m_queue.runAfter(whole, [this, call] { answer(call); });
}

void fake_endpoint::execute(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found != m_calls.end())
        m_onExecution(found->second.request);
}

void fake_endpoint::answer(std::uint64_t call)
{
    auto node = m_calls.extract(call);
    if (node.empty())
        return;
    const auto done = std::move(node.mapped());
    ++m_completedSinceCold;
    if (std::exchange(m_dropsNextAnswer, false)) {
        report(done.agentGeneration, engine_failed { done.number, failure_cause::EndpointCrashed, false });
        return;
    }
    report(done.agentGeneration, engine_head { done.number, 200, { { "Content-Type", "text/plain" } } });
    for (auto& chunk : expectedAnswer(done.request))
        report(done.agentGeneration, engine_data { done.number, std::move(chunk) });
    report(done.agentGeneration, engine_end { done.number });
}

void fake_endpoint::cancel(call_number call)
{
    const auto found = std::find_if(m_calls.begin(), m_calls.end(), [&](const auto& item) {
        return item.second.number == call && item.second.agentGeneration == m_agentGeneration;
    });
    if (found == m_calls.end())
        return;
    m_calls.erase(found);
    report(m_agentGeneration, engine_failed { call, failure_cause::Cancelled, false });
}

void fake_endpoint::probe()
{
    const auto round = m_agentGeneration;
    m_queue.runAfter(connectDelay, [this, round] {
        report(round, engine_probed { m_isUp, "boot-" + std::to_string(m_boots), running(), reportedCapacity() });
    });
}

void fake_endpoint::crash()
{
    if (!m_isUp)
        return;
    m_isUp = false;
    const auto broken = std::exchange(m_calls, {});
    for (const auto& [call, state] : broken)
        report(state.agentGeneration, engine_failed { state.number, failure_cause::EndpointCrashed, false });
    m_queue.runAfter(m_options.restartTime, [this] {
        m_isUp = true;
        ++m_boots;
        m_completedSinceCold = 0;
        m_warmCapacityUntil = {};
    });
}

void fake_endpoint::loseWarmUp()
{
    if (!isCold())
        m_warmCapacityUntil = m_queue.now() + m_options.coldGrace;
    m_completedSinceCold = 0;
}

std::uint32_t fake_endpoint::currentCapacity() const
{
    return m_queue.now() < m_warmCapacityUntil ? m_options.warmCapacity : reportedCapacity();
}

void fake_endpoint::report(std::uint64_t agentGeneration, agent_event_body event)
{
    if (m_sink && agentGeneration == m_agentGeneration)
        m_sink(std::move(event));
}

} // namespace appleramp::tests
