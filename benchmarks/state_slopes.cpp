#include "agent_fixture.h"
#include "entry_fixture.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

using namespace appleramp;

namespace {

// Bytes of heap in use, whole pages that the allocator maps for large blocks included.
double heapBytes()
{
    const auto counts = mallinfo2();
    return static_cast<double>(counts.uordblks + counts.hblkhd);
}

// Builds state of the size in question and reports what the heap grew by.
template <typename Builder>
void measureHeap(benchmark::State& state, Builder&& build)
{
    double grown = 0;
    for (auto _ : state) {
        const auto before = heapBytes();
        const auto built = build(static_cast<std::uint64_t>(state.range(0)));
        grown = heapBytes() - before;
        benchmark::DoNotOptimize(built);
    }
    state.counters["heap_bytes"] = grown;
}

void entryStateByEndpoints(benchmark::State& state)
{
    measureHeap(state, [](std::uint64_t size) { return std::make_unique<entry_fixture>(size); });
}

void entryStateByRequestsInFlight(benchmark::State& state)
{
    measureHeap(state, [](std::uint64_t size) {
        auto entry = std::make_unique<entry_fixture>(4);
        entry->begin(size);
        return entry;
    });
}

void entryStateByExceptions(benchmark::State& state)
{
    measureHeap(state, [](std::uint64_t size) {
        auto entry = std::make_unique<entry_fixture>(1);
        entry->addExceptions(size);
        return entry;
    });
}

void agentStateByEntries(benchmark::State& state)
{
    measureHeap(state, [](std::uint64_t size) { return std::make_unique<agent_fixture>(size); });
}

void agentStateByRequestsInFlight(benchmark::State& state)
{
    measureHeap(state, [](std::uint64_t size) {
        auto agent = std::make_unique<agent_fixture>(1);
        for (std::uint64_t i = 0; i < size; ++i)
            agent->begin(false);
        return agent;
    });
}

// What a completed keyed request leaves behind once its answer is no longer kept: its key and its attempt.
void agentStateByKeys(benchmark::State& state)
{
    measureHeap(state, [](std::uint64_t size) {
        auto agent = std::make_unique<agent_fixture>(1);
        agent->complete(size, true);
        agent->advance(std::chrono::minutes(1));
        agent->apply(time_passed {});
        return agent;
    });
}

void sizes(benchmark::internal::Benchmark* measured)
{
    measured->RangeMultiplier(4)->Range(4, 1024)->Iterations(1);
}

} // namespace

BENCHMARK(entryStateByEndpoints)->Apply(sizes);
BENCHMARK(entryStateByRequestsInFlight)->Apply(sizes);
BENCHMARK(entryStateByExceptions)->Apply(sizes);
BENCHMARK(agentStateByEntries)->RangeMultiplier(4)->Range(1, 256)->Iterations(1);
BENCHMARK(agentStateByRequestsInFlight)->Apply(sizes);
BENCHMARK(agentStateByKeys)->Apply(sizes);
