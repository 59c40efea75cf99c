#include "decisions/groups/choice_reporting.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

// Pattern: demand shifts to other experts in a group of 192 ranks over links of 6 Mbit/s. The coordinator hears of it within
// a quarter of a second, and the reports take less than half of its link.
Test(choice_reporting, a_large_group_reports_a_shift_soon_and_within_its_link)
{
    constexpr std::uint32_t ranks = 192;
    constexpr std::uint32_t zones = 5;
    constexpr double reportBytes = 10 * 384 + 100;
    constexpr double linkBytesPerSecond = 750'000;
    std::uint32_t reporters = 0;
    for (std::uint32_t rank = 0; rank < ranks / zones; ++rank)
        reporters += reportsChoices(rank, ranks, true) ? 1 : 0;
    const double interval = std::chrono::duration<double>(choiceReportInterval(ranks)).count();
    cr_assert_leq(interval, 0.25);
    cr_assert_geq(reporters, 10);
    cr_assert_leq(reporters * reportBytes / interval, linkBytesPerSecond / 2);
}

Test(choice_reporting, all_ranks_of_a_small_group_report)
{
    for (std::uint32_t rank = 0; rank < 16; ++rank)
        cr_assert(reportsChoices(rank, 16, false));
    cr_assert(choiceReportInterval(16) == duration(100ms));
    cr_assert_not(reportsChoices(3, 72, false));
    cr_assert(reportsChoices(3, 72, true));
}
