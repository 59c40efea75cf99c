#include "decisions/forwarding/shared_retry_budget.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const service_id service("drafts");

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
        shared_retry_budget budget(settings);
        for (int request = 0; request < 100; ++request)
            budget.recordRequest(instant(1s), service);
        sum += takeAll(budget, instant(2s), 8);
    }
    cr_assert_leq(sum, 0.2 * 800 + 90);
    cr_assert_geq(sum, 150);
}

Test(shared_retry_budget, the_window_slides)
{
    shared_retry_budget budget({ .requestFraction = 0, .baseRetries = 10, .window = 10s });
    cr_assert_eq(takeAll(budget, instant(1s), 1), 8);
    cr_assert_eq(takeAll(budget, instant(10s), 1), 0);
    cr_assert_eq(takeAll(budget, instant(11s), 1), 8);
}
