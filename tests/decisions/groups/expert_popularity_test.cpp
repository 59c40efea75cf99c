#include "decisions/groups/expert_popularity.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>

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

// Pattern: 192 ranks, of which 13 report each 192 ms, one after the other. Demand shifts to other experts; until the map
// follows, every pass is more than twice as long. A report covers the time since the one before, so the first ones after the
// shift hold mostly choices from before it.
Test(expert_popularity, a_shift_in_a_large_group_is_seen_within_a_sixth_of_a_second)
{
    constexpr int reporters = 13;
    constexpr int interval = 192;
    constexpr int shiftAt = 5000;
    constexpr std::size_t experts = 384;
    constexpr std::size_t hot = 88;
    expert_popularity popularity;
    std::optional<int> seenAt;
    const auto sharesOfNewHot = [&] {
        double sum = 0;
        for (std::size_t expert = hot; expert < 2 * hot; ++expert)
            sum += share(popularity, expert);
        return sum;
    };
    for (int time = interval; time < shiftAt + 600; time += interval / reporters) {
        const double isNew = std::clamp((time - shiftAt) / static_cast<double>(interval), 0.0, 1.0);
        std::vector<std::uint32_t> chosen(experts, 100);
        for (std::size_t expert = 0; expert < 2 * hot; ++expert) {
            const double weight = expert < hot ? 1 - isNew : isNew;
            // A few percent of noise that differs between the reports.
            chosen[expert] += static_cast<std::uint32_t>(weight * (900 + static_cast<double>((time * 31 + static_cast<int>(expert) * 17) % 60)));
        }
        popularity.add(at(time), chosen);
        if (popularity.shifts() > 0 && !seenAt)
            seenAt = time;
    }
    cr_assert(seenAt.has_value());
    cr_assert_geq(*seenAt, shiftAt);
    cr_assert_leq(*seenAt, shiftAt + 166);
    cr_assert_eq(popularity.shifts(), 1);
    cr_assert_gt(sharesOfNewHot(), 0.65);
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
