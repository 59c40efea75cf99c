#include "decisions/workload/load_summary.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

// Guards against entries that all choose the engine that was idle in the last reports: they are 400 ms old when they arrive.
Test(uneven_endpoints, old_reports_do_not_gather_requests)
{
    work_world byCount({ .placeByWork = false, .utilization = 0.75, .reportDelay = 400ms });
    byCount.runUntil(40s);
    work_world byWork({ .utilization = 0.75, .reportDelay = 400ms });
    byWork.runUntil(40s);
    print("old reports, by count", byCount, summarize(byCount, 12s, 32s));
    print("old reports, by work", byWork, summarize(byWork, 12s, 32s));
    cr_expect_geq(summarize(byWork, 12s, 32s).onTime, summarize(byCount, 12s, 32s).onTime);
    cr_expect_geq(summarize(byWork, 12s, 32s).served, 0.99);
    cr_expect_leq(byWork.longestNeedlessRefusal(), 1s);
}
