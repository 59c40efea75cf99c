#include "decisions/forwarding/brief_outage.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

Test(brief_outage, requests_wait_while_all_is_rejected_and_one_probes)
{
    brief_outage outage;
    outage.recordRejection(instant(10s));
    outage.recordRejection(instant(10s));
    cr_assert(!outage.shouldWait(instant(10s)));
    outage.recordRejection(instant(10100ms));
    cr_assert(outage.shouldWait(instant(10200ms)));
    cr_assert(!outage.shouldWait(instant(10450ms)), "one request per probe interval is let through");
    cr_assert(outage.shouldWait(instant(10460ms)));
    outage.recordProgress();
    cr_assert(!outage.shouldWait(instant(10460ms)));
}

Test(brief_outage, a_long_outage_keeps_nobody_waiting)
{
    brief_outage outage;
    for (int attempt = 0; attempt < 5; ++attempt)
        outage.recordRejection(instant(10s));
    cr_assert(outage.shouldWait(instant(10s)));
    cr_assert(!outage.shouldWait(instant(12600ms)));
    cr_assert(!outage.shouldWait(instant(12600ms)));
}
