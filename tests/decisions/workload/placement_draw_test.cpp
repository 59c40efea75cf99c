#include "decisions/workload/arrival_rate.h"
#include "decisions/workload/forecast_error.h"
#include "decisions/workload/placement_draw.h"
#include "decisions/workload/unread_prompts.h"

#include <criterion/criterion.h>

#include <array>

using namespace appleramp;
using namespace std::chrono_literals;

// Guards against all entries that read the same reports choosing the same endpoint until the next report.
Test(placement_draw, requests_of_other_entries_are_spread_up_to_one_level)
{
    const std::array costs { 1.0, 0.2, 0.6, 5.0 };
    cr_assert_eq(drawPlacement({ costs, 0.1, 0, 0.99 }), 1);
    std::array<int, 4> drawn {};
    for (int draw = 0; draw < 1000; ++draw)
        ++drawn[drawPlacement({ costs, 0.1, 14, draw / 1000.0 })];
    // The level is 16 / 15 of the first cost: the requests raise three endpoints to it.
    cr_assert_eq(drawn[3], 0);
    cr_assert(drawn[1] > drawn[2] && drawn[2] > drawn[0] && drawn[0] > 0);
    cr_assert(drawn[1] > 580 && drawn[1] < 660);
}

// Guards against a single option, and costs that are equal, as after a start without reports.
Test(placement_draw, equal_costs_are_drawn_evenly)
{
    const std::array costs { 0.5, 0.5 };
    cr_assert_eq(drawPlacement({ costs, 0.1, 3, 0.2 }), 0);
    cr_assert_eq(drawPlacement({ costs, 0.1, 3, 0.8 }), 1);
    cr_assert_eq(drawPlacement({ std::span(costs).first(1), 0.1, 3, 0.8 }), 0);
}

// Guards against large prompts that no other entry sees: the memory in use jumps when one starts.
Test(unread_prompts, a_jump_of_memory_is_read_at_the_rate_of_the_engine)
{
    unread_prompts unread;
    unread.recordReport(instant(1s), 50'000, 10'000);
    cr_assert_eq(unread.tokens(instant(1s), 10'000), 0);
    unread.recordReport(instant(2s), 70'000, 10'000);
    cr_assert_float_eq(unread.tokens(instant(3s), 10'000), 10'000, 1);
    unread.recordReport(instant(3s), 1000, 10'000);
    cr_assert_leq(unread.tokens(instant(3s), 10'000), 1000);
}

// Guards against a rate that stays high after the demand has ended.
Test(arrival_rate, follows_the_demand)
{
    arrival_rate rate;
    for (int request = 0; request < 100; ++request)
        rate.record(instant(100ms * request));
    cr_assert_float_eq(rate.perSecond(instant(10s)), 10, 1);
    cr_assert_leq(rate.perSecond(instant(20s)), 0.5);
}

// Guards against predictions that stay wrong by a constant factor.
Test(forecast_error, a_constant_factor_is_corrected)
{
    forecast_error error;
    for (int answer = 0; answer < 400; ++answer)
        error.record(std::chrono::milliseconds(static_cast<int>(100 * error.correction())), 200ms);
    cr_assert_float_eq(error.correction(), 2, 0.1);
    cr_assert_leq(error.errorFactor(), 1.1);
}
