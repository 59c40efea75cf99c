#include "agent_fixture.h"
#include "entry_fixture.h"

#include <benchmark/benchmark.h>

using namespace appleramp;

namespace {

void sizes(benchmark::internal::Benchmark* measured)
{
    measured->RangeMultiplier(4)->Range(4, 1024);
}

void agentRequestByEntries(benchmark::State& state)
{
    agent_fixture agent(static_cast<std::uint64_t>(state.range(0)));
    for (auto _ : state)
        agent.complete(1, false);
}

void agentRequestByKeptAnswers(benchmark::State& state)
{
    agent_fixture agent(1);
    agent.complete(static_cast<std::uint64_t>(state.range(0)), false);
    for (auto _ : state)
        agent.complete(1, false);
}

void agentTokenFrameByRequestsInFlight(benchmark::State& state)
{
    agent_fixture agent(1);
    for (std::int64_t i = 0; i < state.range(0); ++i)
        agent.begin(false);
    const auto call = agent.begin(false);
    agent.apply(engine_head { call, 200, {} });
    for (auto _ : state)
        agent.apply(engine_data { call, "data: {\"token\":1}\n\n" });
}

void agentTickByKeptAnswers(benchmark::State& state)
{
    agent_fixture agent(1);
    agent.complete(static_cast<std::uint64_t>(state.range(0)), false);
    for (auto _ : state) {
        agent.advance(std::chrono::milliseconds(50));
        agent.apply(time_passed {});
    }
}

// Every half second each linked entry gets its grant anew.
void agentGrantsByEntries(benchmark::State& state)
{
    agent_fixture agent(static_cast<std::uint64_t>(state.range(0)));
    for (auto _ : state) {
        agent.advance(std::chrono::milliseconds(500));
        benchmark::DoNotOptimize(agent.apply(time_passed {}));
    }
}

void agentHeartbeatByEntries(benchmark::State& state)
{
    agent_fixture agent(static_cast<std::uint64_t>(state.range(0)));
    std::uint64_t sequence = 0;
    for (auto _ : state)
        agent.receive(1, heartbeat { ++sequence });
}

void agentChangeByEntries(benchmark::State& state)
{
    agent_fixture agent(static_cast<std::uint64_t>(state.range(0)));
    configuration_version version = 0;
    for (auto _ : state)
        agent.receive(1, configuration_news { { exceptionChange(++version) }, std::nullopt });
}

void agentKeyedRequestByKeys(benchmark::State& state)
{
    agent_fixture agent(1);
    agent.complete(static_cast<std::uint64_t>(state.range(0)), true);
    for (auto _ : state)
        agent.complete(1, true);
}

// The gate's work grows with slots times entries, so this series ends earlier.
void entryCounts(benchmark::internal::Benchmark* measured)
{
    measured->RangeMultiplier(4)->Range(1, 256);
}

} // namespace

BENCHMARK(agentRequestByEntries)->Apply(entryCounts);
BENCHMARK(agentRequestByKeptAnswers)->Apply(sizes);
BENCHMARK(agentTokenFrameByRequestsInFlight)->Apply(sizes);
// So few that the answers are still kept at the end of the virtual time.
BENCHMARK(agentTickByKeptAnswers)->Apply(sizes)->Iterations(500);
BENCHMARK(agentGrantsByEntries)->Apply(entryCounts);
BENCHMARK(agentHeartbeatByEntries)->Apply(entryCounts);
BENCHMARK(agentChangeByEntries)->Apply(entryCounts);
BENCHMARK(agentKeyedRequestByKeys)->Apply(sizes);
