#include "decisions/maps/rank_speed_observer.h"

#include "decisions/maps/groups.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::testing;

namespace {

void reportWindows(rank_speed_observer& observer, std::uint64_t first, std::uint64_t last, std::vector<double> speeds)
{
    for (auto window = first; window < last; ++window) {
        for (std::size_t rank = 0; rank < speeds.size(); ++rank) {
            if (speeds[rank] > 0)
                observer.observe({ rank_index(rank), window, {}, 1'000'000, duration(std::int64_t(1e6 / speeds[rank])) });
        }
    }
}

} // namespace

Test(rank_speed_observer, a_slow_rank_is_recognised_and_explained)
{
    rank_speed_observer observer(4);
    reportWindows(observer, 0, 20, { 1, 1, 0.6, 1 });
    cr_assert_float_eq(observer.speed(2), 0.6, 1e-9);
    cr_assert_eq(observer.condition(2), rank_condition::Slow);
    cr_assert_eq(observer.condition(1), rank_condition::Healthy);
    cr_assert_eq(observer.explain(2), "rank 2 slow: works at 60% of the median rank's speed");
}

Test(rank_speed_observer, a_silent_rank_counts_as_stalled)
{
    rank_speed_observer observer(4);
    reportWindows(observer, 0, 10, { 1, 1, 1, 1 });
    reportWindows(observer, 10, 14, { 1, 0, 1, 1 });
    cr_assert_eq(observer.condition(1), rank_condition::Stalled);
    cr_assert_eq(observer.explain(1), "rank 1 stalled: no report for 4 windows");
}

Test(rank_speed_observer, small_differences_do_not_ask_for_a_new_plan)
{
    auto shape = makeGroup(4, 8, 3);
    rank_speed_observer observer(4);
    reportWindows(observer, 0, 10, { 1, 1.01, 0.99, 1 });
    cr_assert_not(observer.apply(shape));
    reportWindows(observer, 10, 30, { 1, 1, 0.7, 1 });
    cr_assert(observer.apply(shape));
    cr_assert_float_eq(shape.ranks[2].speed, 0.7, 1e-9);
    cr_assert_not(observer.apply(shape));
}

Test(rank_speed_observer, a_change_of_condition_is_journalled_once)
{
    rank_speed_observer observer(4);
    const group_id group("g");
    reportWindows(observer, 0, 10, { 1, 1, 1, 1 });
    cr_assert(observer.journalChanges(instant {}, group).empty());
    reportWindows(observer, 10, 30, { 1, 0.3, 1, 1 });
    const auto entries = observer.journalChanges(instant {}, group);
    cr_assert_eq(entries.size(), 1);
    cr_assert_eq(entries.front().reason, "rank 1 stalled: works at 30% of the median rank's speed");
    cr_assert(observer.journalChanges(instant {}, group).empty());
}
