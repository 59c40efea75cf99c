#include "entry_fixture.h"

#include "wire/configuration_codec.h"
#include "wire/envelope_codec.h"

#include <benchmark/benchmark.h>

using namespace appleramp;

namespace {

constexpr attempt_id attempt { 1'764'800'000'000, 123'456 };
constexpr configuration_version knownVersion = 54'000;

// A message with the values that it has in a fleet that has run for a while.
void measureMessage(benchmark::State& state, link_message message)
{
    const link_envelope envelope { attempt.entry, knownVersion, std::move(message) };
    const auto bytes = encodeEnvelope(envelope);
    for (auto _ : state)
        benchmark::DoNotOptimize(decodeEnvelope(encodeEnvelope(envelope)));
    state.counters["wire_bytes"] = static_cast<double>(bytes.size());
}

hello greeting()
{
    return { instance_id("agent-10.1.2.3"), process_role::Agent, availability_zone_id("region-1-zone-a"),
        endpoint_description { endpoint_id("engine-10.1.2.3-0"), endpoint_kind::ModelEngine,
            { service_id("assistant") }, {} } };
}

// A token's server-sent event as the usual engines send it.
std::string tokenEvent()
{
    return R"(data: {"id":"cmpl-16A9B71836BB3352","object":"chat.completion.chunk","choices":[{"index":0,)"
           R"("delta":{"content":" cabbage"},"finish_reason":null}]})"
           "\n\n";
}

// One frame with this many tokens' events.
void wireTokenFrameByTokens(benchmark::State& state)
{
    std::string data;
    for (std::int64_t i = 0; i < state.range(0); ++i)
        data += tokenEvent();
    measureMessage(state, response_body { attempt, 100, data });
}

// A whole document for a peer that is too far behind, with this many exceptions.
void wireDocumentByExceptions(benchmark::State& state)
{
    fleet_configuration document;
    document.version = knownVersion;
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        const auto change = exceptionChange(static_cast<configuration_version>(i));
        const auto& exception = std::get<add_exception>(change.change).exception;
        document.exceptions[exception.team] = exception;
    }
    measureMessage(state, configuration_news { {}, document });
}

void sizes(benchmark::internal::Benchmark* measured)
{
    measured->RangeMultiplier(4)->Range(4, 1024);
}

} // namespace

BENCHMARK_CAPTURE(measureMessage, hello, greeting());
BENCHMARK_CAPTURE(measureMessage, heartbeat, heartbeat { knownVersion });
BENCHMARK_CAPTURE(measureMessage, heartbeat_ack, heartbeat_ack { knownVersion });
BENCHMARK_CAPTURE(measureMessage, slot_demand, slot_demand { 12 });
BENCHMARK_CAPTURE(measureMessage, slot_grant, slot_grant { knownVersion, 12, std::chrono::seconds(2), false, {} });
BENCHMARK_CAPTURE(measureMessage, start_attempt, start_attempt { attempt, benchmarkRequest(), false });
BENCHMARK_CAPTURE(measureMessage, response_head,
    response_head { attempt, 200, { { "Content-Type", "text/event-stream" } } });
BENCHMARK_CAPTURE(measureMessage, response_body, response_body { attempt, 100, tokenEvent() });
BENCHMARK_CAPTURE(measureMessage, response_end, response_end { attempt, 100, ~0ULL });
BENCHMARK_CAPTURE(measureMessage, attempt_refused, attempt_refused { attempt, refusal::NoSlot, std::chrono::seconds(1) });
BENCHMARK_CAPTURE(measureMessage, query_attempt, query_attempt { attempt });
BENCHMARK_CAPTURE(measureMessage, attempt_report, attempt_report { attempt, attempt_state::Completed });
BENCHMARK_CAPTURE(measureMessage, grant_key_block, grant_key_block { knownVersion, 1000, std::chrono::hours(1) });
BENCHMARK_CAPTURE(measureMessage, configuration_change,
    configuration_news { { exceptionChange(knownVersion) }, std::nullopt });
BENCHMARK(wireTokenFrameByTokens)->Apply(sizes);
BENCHMARK(wireDocumentByExceptions)->Apply(sizes);
