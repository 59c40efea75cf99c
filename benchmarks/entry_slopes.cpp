#include "entry_fixture.h"

#include <benchmark/benchmark.h>

using namespace appleramp;

namespace {

// Five sizes, each four times the one before.
void sizes(benchmark::internal::Benchmark* measured)
{
    measured->RangeMultiplier(4)->Range(4, 1024);
}

void entryRequestByEndpoints(benchmark::State& state)
{
    entry_fixture entry(static_cast<std::uint64_t>(state.range(0)));
    for (auto _ : state)
        entry.finish(entry.begin());
}

void entryRequestByRequestsInFlight(benchmark::State& state)
{
    entry_fixture entry(4);
    entry.begin(static_cast<std::uint64_t>(state.range(0)));
    for (auto _ : state)
        entry.finish(entry.begin());
}

void entryTokenFrameByRequestsInFlight(benchmark::State& state)
{
    entry_fixture entry(4);
    entry.begin(static_cast<std::uint64_t>(state.range(0)));
    const auto started = entry.begin();
    entry.receive(1, response_head { started.attempt, 200, {} });
    std::uint64_t frame = 0;
    for (auto _ : state)
        entry.receive(1, response_body { started.attempt, ++frame, "data: {\"token\":1}\n\n" });
}

void entryTickByRequestsInFlight(benchmark::State& state)
{
    entry_fixture entry(4);
    entry.begin(static_cast<std::uint64_t>(state.range(0)));
    for (auto _ : state) {
        entry.advance(std::chrono::milliseconds(50));
        entry.apply(time_passed {});
    }
}

void entrySlotGrantByEndpoints(benchmark::State& state)
{
    const auto endpoints = static_cast<std::uint64_t>(state.range(0));
    entry_fixture entry(endpoints);
    std::uint64_t next = 0;
    for (auto _ : state)
        entry.grantSlots(next++ % endpoints + 1, entry_fixture::slotsPerEndpoint);
}

void entryHeartbeatByEndpoints(benchmark::State& state)
{
    entry_fixture entry(static_cast<std::uint64_t>(state.range(0)));
    std::uint64_t sequence = 0;
    for (auto _ : state)
        entry.receive(1, heartbeat { ++sequence });
}

void entryChangeByEndpoints(benchmark::State& state)
{
    entry_fixture entry(static_cast<std::uint64_t>(state.range(0)));
    for (auto _ : state)
        entry.addExceptions(1);
}

void entryChangeByExceptions(benchmark::State& state)
{
    entry_fixture entry(1);
    entry.addExceptions(static_cast<std::uint64_t>(state.range(0)));
    auto version = entry.reducer().configuration().version;
    for (auto _ : state) {
        auto change = exceptionChange(++version);
        // Replaces a standing exception, so that the size stays.
        std::get<add_exception>(change.change).exception.team = team_id("team-2");
        entry.receive(1, configuration_news { { std::move(change) }, std::nullopt });
    }
}

void entryAddressesByEntries(benchmark::State& state)
{
    entry_fixture entry(1);
    std::vector<listed_instance> instances;
    for (std::int64_t number = 0; number < state.range(0); ++number)
        instances.push_back({ instance_id("entry-" + std::to_string(number)), process_role::Entry,
            availability_zone_id(number % 2 == 0 ? "zone-a" : "zone-b"), "127.0.0.1:7000", "127.0.0.1:8000",
            instance_state::Live });
    entry.apply(instances_listed { instances });
    request_number number = 0;
    for (auto _ : state)
        entry.apply(addresses_requested { ++number, team_id("north-kitchens") });
}

void entryKeyBinding(benchmark::State& state)
{
    entry_fixture entry(1);
    request_number number = 0;
    const auto request = [&] {
        auto order = benchmarkRequest();
        order.path = "/orders";
        order.key = idempotency_key("key-" + std::to_string(++number));
        return entry.apply(request_received { number, order });
    };
    for (std::int64_t bound = 0; bound < state.range(0); ++bound)
        request();
    for (auto _ : state) {
        operation_number operation = 0;
        for (const auto& effect : request())
            if (const auto* call = std::get_if<call_platform>(&effect))
                operation = call->operation;
        platform_result done { platform_status::Done, { { "key", "", 1 } } };
        benchmark::DoNotOptimize(entry.apply(platform_replied { operation, std::move(done) }));
    }
}

} // namespace

BENCHMARK(entryRequestByEndpoints)->Apply(sizes);
BENCHMARK(entryRequestByRequestsInFlight)->Apply(sizes);
BENCHMARK(entryTokenFrameByRequestsInFlight)->Apply(sizes);
BENCHMARK(entryTickByRequestsInFlight)->Apply(sizes);
BENCHMARK(entrySlotGrantByEndpoints)->Apply(sizes);
BENCHMARK(entryHeartbeatByEndpoints)->Apply(sizes);
BENCHMARK(entryChangeByEndpoints)->Apply(sizes);
BENCHMARK(entryChangeByExceptions)->Apply(sizes);
BENCHMARK(entryAddressesByEntries)->Apply(sizes);
BENCHMARK(entryKeyBinding)->Apply(sizes)->Iterations(2000);
