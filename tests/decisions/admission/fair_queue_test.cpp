#include "decisions/admission/fair_queue.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

request_number serveNext(fair_queue& queue)
{
    const auto next = queue.nextRequests(1).at(0);
    queue.takeTurn(next);
    return next;
}

} // namespace

Test(fair_queue, serves_teams_in_turn)
{
    fair_queue queue;
    for (request_number number = 1; number <= 10; ++number)
        queue.push(number, team_id("large"), priority::Normal);
    queue.push(11, team_id("small"), priority::Normal);
    queue.push(12, team_id("small"), priority::Normal);
    std::set<request_number> first;
    for (int turn = 0; turn < 4; ++turn)
        first.insert(serveNext(queue));
    cr_assert(first.contains(11) && first.contains(12));
    cr_assert(first.contains(1) && first.contains(2));
}

Test(fair_queue, serves_higher_priority_first)
{
    fair_queue queue;
    queue.push(1, team_id("a"), priority::Batch);
    queue.push(2, team_id("a"), priority::Urgent);
    queue.push(3, team_id("a"), priority::Normal);
    cr_assert_eq(serveNext(queue), 2U);
    cr_assert_eq(serveNext(queue), 3U);
    cr_assert_eq(serveNext(queue), 1U);
}

Test(fair_queue, counts_only_what_is_served_before)
{
    fair_queue queue;
    for (request_number number = 1; number <= 10; ++number)
        queue.push(number, team_id("large"), priority::Normal);
    queue.push(11, team_id("large"), priority::Urgent);
    cr_expect_eq(queue.countAhead(team_id("small"), priority::Normal), 2U);
    cr_expect_eq(queue.countAhead(team_id("large"), priority::Normal), 11U);
    cr_expect_eq(queue.countAhead(team_id("small"), priority::Urgent), 1U);
}

Test(fair_queue, names_the_last_of_the_lowest_priority)
{
    fair_queue queue;
    queue.push(1, team_id("a"), priority::Batch);
    queue.push(2, team_id("a"), priority::Batch);
    queue.push(3, team_id("b"), priority::Normal);
    cr_expect_eq(*queue.findPreemptible(priority::Urgent), 2U);
    cr_expect(!queue.findPreemptible(priority::Batch).has_value());
}

Test(fair_queue, forgets_teams_that_no_longer_wait)
{
    fair_queue queue;
    queue.push(1, team_id("a"), priority::Normal);
    queue.remove(1);
    cr_expect(queue.empty());
    cr_expect(queue.nextRequests(5).empty());
    cr_expect_eq(queue.countAhead(team_id("b"), priority::Normal), 0U);
}
