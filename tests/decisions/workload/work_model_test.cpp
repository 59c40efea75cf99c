#include "decisions/workload/work_model.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

engine_speed published()
{
    return { .step = 5ms, .stepPerRequest = 1ms, .promptTokensPerSecond = 50'000, .chunkTokens = 500, .stepsPerPass = 4, .contextMillisecondsPerThousand = 0.1, .pairMillisecondsPerMillion = 1 };
}

} // namespace

// Guards against a pass time that ignores the requests that generate or the tokens of their contexts.
Test(work_model, a_pass_takes_longer_with_each_request_and_its_context)
{
    const work_model model(published());
    cr_assert_eq(model.passTime(0, 0, 1), 20ms);
    cr_assert_eq(model.passTime(3, 0, 1), 32ms);
    cr_assert_eq(model.passTime(3, 10'000, 1), 36ms);
    cr_assert_eq(model.passTime(3, 0, 1.5), 48ms);
}

// Guards against long prompts that are taken for short ones: 1,000 tokens are read in two steps, in 20 ms and 1 ms for their pairs.
Test(work_model, prompts_are_read_in_chunks)
{
    const work_model model(published());
    cr_assert_eq(model.promptTime(1000, { .requests = 2, .slots = 10 }), 35ms);
    cr_assert_gt(model.promptTime(20'000, {}), 20 * model.promptTime(1000, {}));
}

// Guards against times without end by absurd figures of a caller or an engine.
Test(work_model, absurd_sizes_give_bounded_times)
{
    const work_model model(published());
    const request_work work = model.work({ 4'000'000'000U, 4'000'000'000U }, { .requests = 1e9, .contextTokens = 1e18, .slowdownFactor = 1e12 });
    cr_assert_leq(work.slotTime, 10'000s);
    cr_assert_geq(work.promptTime, duration::zero());
}

// Guards against a choice that sends a request behind others while a slot is free elsewhere, and against slow ranks.
Test(work_model, queues_and_slow_engines_delay_the_first_event)
{
    const work_model model(published());
    const request_size size { 500, 80 };
    const auto idle = model.forecast(size, { .requests = 4, .slots = 10 }, {}, 2s);
    const auto full = model.forecast(size, { .requests = 12, .slots = 10 }, {}, 2s);
    const auto slow = model.forecast(size, { .requests = 0, .slots = 10, .slowdownFactor = 12 }, {}, 2s);
    cr_assert_geq(full.firstEvent, idle.firstEvent + 600ms);
    cr_assert_gt(slow.addedDelay, 10 * idle.addedDelay);
    cr_assert_gt(model.forecast(size, { .requests = 4, .slots = 10 }, 300ms, 2s).firstEvent, idle.firstEvent + 299ms);
}

// Guards against divisions by figures that a service does not publish.
Test(work_model, a_service_without_times_is_not_usable)
{
    cr_assert_not(work_model({}).isUsable());
    cr_assert(work_model(published()).isUsable());
}
