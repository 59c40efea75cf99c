#include "decisions/retries/backoff.h"
#include "decisions/retries/retry_budget.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

constexpr std::uint32_t retryPercent = 10;

} // namespace

Test(retry_budget, allows_a_share_of_first_sends)
{
    retry_budget budget;
    const instant now { std::chrono::seconds(1) };
    for (int send = 0; send < 500; ++send)
        budget.recordFirstSend(team_id("a"), service_id("m"), retryPercent, now);
    int allowed = 0;
    while (budget.tryTake(team_id("a"), service_id("m"), now))
        ++allowed;
    cr_assert_geq(allowed, 50);
    cr_assert_leq(allowed, 53);
}

Test(retry_budget, holds_for_the_service_whatever_the_number_of_teams)
{
    retry_budget budget;
    const instant now { std::chrono::seconds(1) };
    int allowed = 0;
    for (int team = 0; team < 100; ++team) {
        const team_id name("team-" + std::to_string(team));
        budget.recordFirstSend(name, service_id("m"), retryPercent, now);
        allowed += budget.tryTake(name, service_id("m"), now) ? 1 : 0;
    }
    cr_assert_leq(allowed, 13);
}

Test(retry_budget, forgets_idle_teams)
{
    retry_budget budget;
    budget.recordFirstSend(team_id("a"), service_id("m"), retryPercent, instant(std::chrono::seconds(1)));
    budget.removeIdle(instant(std::chrono::minutes(5)));
    cr_assert_eq(budget.size(), 0U);
}

Test(backoff, grows_and_differs_by_seed)
{
    backoff first(1);
    backoff second(2);
    cr_expect_lt(first.nextDelay(1).count(), 40000);
    cr_expect_geq(first.nextDelay(5).count(), 320000);
    bool differs = false;
    for (int draw = 0; draw < 8; ++draw)
        differs = differs || first.nextDelay(3) != second.nextDelay(3);
    cr_expect(differs);
}
