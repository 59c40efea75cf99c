#include "decisions/forwarding/freshness_lease.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

instant at(duration time) { return instant(time); }

} // namespace

Test(freshness_lease, nothing_is_allowed_before_the_first_read)
{
    const freshness_lease lease({});
    cr_assert(!lease.allowsKeyUse(at(1s)));
    cr_assert(!lease.allowsDefiniteRefusal(at(1s)));
}

// The answer to a read may miss a change that the store acknowledged after the read was sent.
Test(freshness_lease, age_counts_from_the_sending_of_the_read)
{
    freshness_lease lease({});
    lease.confirm(at(10s));
    cr_assert(lease.allowsKeyUse(at(10s + 4700ms)));
    cr_assert(!lease.allowsKeyUse(at(10s + 4701ms)));
    cr_assert(lease.allowsDefiniteRefusal(at(13500ms)));
    cr_assert(!lease.allowsDefiniteRefusal(at(13501ms)));
}

Test(freshness_lease, an_older_read_that_is_answered_later_takes_nothing_back)
{
    freshness_lease lease({});
    lease.confirm(at(10s));
    lease.confirm(at(8s));
    cr_assert(lease.age(at(11s)) == duration(1s));
}
