#include "decisions/groups/expert_popularity.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }

std::vector<std::uint32_t> demandFor(std::size_t popularExpert)
{
    std::vector<std::uint32_t> chosen(8, 1000);
    chosen[popularExpert] = 9000;
    return chosen;
}

double share(const expert_popularity& popularity, std::size_t expert)
{
    return popularity.loads()[expert] / popularity.weight();
}

} // namespace

Test(expert_popularity, a_shift_of_demand_is_followed_within_half_a_second)
{
    expert_popularity popularity;
    for (int time = 0; time <= 4000; time += 100)
        popularity.add(at(time), demandFor(0));
    cr_assert_gt(share(popularity, 0), 0.5);
    for (int time = 4100; time <= 4500; time += 100)
        popularity.add(at(time), demandFor(5));
    cr_assert_eq(popularity.shifts(), 1);
    cr_assert_gt(share(popularity, 5), 0.4);
    cr_assert_lt(share(popularity, 0), 0.2);
}

Test(expert_popularity, noise_is_no_shift)
{
    expert_popularity popularity;
    for (int time = 0; time <= 8000; time += 100) {
        auto chosen = demandFor(0);
        chosen[static_cast<std::size_t>(time / 100 * 3 % 8)] += 1500;
        popularity.add(at(time), chosen);
    }
    cr_assert_eq(popularity.shifts(), 0);
}

Test(choice_counter, totals_that_start_anew_are_counted_from_zero)
{
    choice_counter counter;
    cr_assert(counter.takeIncrease(std::vector<std::uint32_t> { 10, 20 }).empty());
    cr_assert(counter.takeIncrease(std::vector<std::uint32_t> { 15, 20 }) == (std::vector<std::uint32_t> { 5, 0 }));
    cr_assert(counter.takeIncrease(std::vector<std::uint32_t> { 3, 25 }) == (std::vector<std::uint32_t> { 3, 5 }));
}
