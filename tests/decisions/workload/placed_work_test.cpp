#include "decisions/workload/placed_work.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

// Guards against sums that do not return to zero: work that has ended would keep requests away from an endpoint for good.
Test(placed_work, sums_follow_sends_reports_and_ends)
{
    const endpoint_id first("e1");
    const endpoint_id second("e2");
    placed_work work;
    work.recordSend(1, first, { 100ms, 2s, 5000 });
    work.recordSend(2, first, { 20ms, 2s, 1000 });
    cr_assert_eq(work.at(first).memorySinceReport, 6000);
    work.recordReport(first);
    cr_assert_eq(work.at(first).memorySinceReport, 0);
    cr_assert_eq(work.at(first).memoryTokens, 6000);
    cr_assert_eq(work.at(first).unreadPrompts, 120ms);
    work.recordSend(3, first, { 30ms, 2s, 1 });
    work.recordFirstEvent(3);
    work.recordFirstEvent(3);
    cr_assert_eq(work.at(first).promptsSinceReport, duration::zero());
    // A retry of the first request goes to another endpoint.
    work.recordSend(1, second, { 100ms, 2s, 5000 });
    cr_assert_eq(work.at(first).memoryTokens, 1001);
    cr_assert_eq(work.at(second).memorySinceReport, 5000);
    for (const request_number request : { 1U, 2U, 3U, 3U, 9U })
        work.recordEnd(request);
    cr_assert_eq(work.at(first).memoryTokens, 0);
    cr_assert_eq(work.size(), 0);
}
