#include "decisions/forwarding/shared_retry_budget.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const service_id service("drafts");
// The budgets of these tests belong to processes that started this long ago, unless they say otherwise.
constexpr instant longAgo { -1min };

std::size_t takeAll(shared_retry_budget& budget, instant now, std::size_t entries)
{
    std::size_t taken = 0;
    while (budget.tryTake(now, service, entries))
        ++taken;
    return taken;
}

} // namespace

// Guards against exceeding the retry budget when many endpoints fail and every entry retries. Entries that cannot reach
// each other must keep the budget as well.
Test(shared_retry_budget, shares_of_all_entries_keep_the_budget)
{
    const shared_retry_budget_settings settings { .requestFraction = 0.2, .baseRetries = 90, .window = 10s };
    std::size_t sum = 0;
    for (int entry = 0; entry < 8; ++entry) {
        shared_retry_budget budget(longAgo, settings);
        for (int request = 0; request < 100; ++request)
            budget.recordRequest(instant(1s), service);
        sum += takeAll(budget, instant(2s), 8);
    }
    cr_assert_leq(sum, 0.2 * 800 + 90);
    cr_assert_geq(sum, 150);
}

Test(shared_retry_budget, the_window_slides)
{
    shared_retry_budget budget(longAgo, { .requestFraction = 0, .baseRetries = 10, .window = 10s });
    cr_assert_eq(takeAll(budget, instant(1s), 1), 8);
    cr_assert_eq(takeAll(budget, instant(10s), 1), 0);
    cr_assert_eq(takeAll(budget, instant(11s), 1), 8);
}

// Guards against retries of a process and of those that follow it, which together exceed the budget (BUDGET).
Test(shared_retry_budget, processes_that_follow_each_other_keep_the_budget_of_one)
{
    const shared_retry_budget_settings settings { .requestFraction = 0.2, .baseRetries = 90, .window = 10s };
    std::size_t sum = 0;
    std::size_t requests = 0;
    const auto serve = [&](shared_retry_budget& budget, instant from, instant until) {
        for (instant now = from; now < until; now += 10ms) {
            budget.recordRequest(now, service);
            ++requests;
        }
    };
    shared_retry_budget first(longAgo, settings);
    serve(first, instant {}, instant(10s));
    sum += takeAll(first, instant(10s), 1);
    cr_assert_geq(static_cast<double>(sum), 0.75 * (0.2 * static_cast<double>(requests) + 90));
    for (instant start(10s); start < instant(20s); start += 2s) {
        shared_retry_budget next(start, settings);
        cr_assert_eq(takeAll(next, start, 1), 0);
        serve(next, start, start + 2s);
        sum += takeAll(next, start + 2s, 1);
    }
    // As many requests came in each of the two windows.
    cr_assert_leq(static_cast<double>(sum), 0.2 * static_cast<double>(requests) / 2 + 90);
}

Test(shared_retry_budget, a_process_has_its_whole_share_after_a_window)
{
    shared_retry_budget budget(instant {}, { .requestFraction = 0, .baseRetries = 100, .window = 10s });
    cr_assert_eq(takeAll(budget, instant(5s), 1), 5);
    cr_assert_eq(takeAll(budget, instant(10s), 1), 75);
    cr_assert_eq(takeAll(budget, instant(20s), 1), 80);
}
