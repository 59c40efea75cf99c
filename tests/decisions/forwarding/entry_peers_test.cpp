#include "decisions/forwarding/entry_peers.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const availability_zone_id zoneA("a");
const availability_zone_id zoneB("b");

entry_presence entry(const std::string& address, const availability_zone_id& zone, bool serving = true)
{
    return { instance_id(address), zone, address, serving };
}

using addresses = std::vector<std::string>;

} // namespace

// Pattern: machines are killed; callers must not be sent to them for long.
Test(entry_peers, a_silent_entry_is_left_out)
{
    entry_peers peers(instant {}, {});
    peers.heard(instant(10s), entry("10.0.0.2:1", zoneB));
    const auto self = entry("10.0.0.1:1", zoneA);
    cr_assert(peers.callerAddresses(instant(11s), self, zoneA) == (addresses { "10.0.0.1:1", "10.0.0.2:1" }));
    cr_assert(peers.callerAddresses(instant(13s), self, zoneA) == (addresses { "10.0.0.1:1" }));
}

Test(entry_peers, entries_that_leave_or_know_nothing_are_left_out)
{
    entry_peers peers(instant {}, {});
    peers.heard(instant(1s), entry("10.0.0.2:1", zoneB, false));
    peers.heard(instant(1s), entry("10.0.0.3:1", zoneB));
    const auto leaving = entry("10.0.0.1:1", zoneA, false);
    cr_assert(peers.callerAddresses(instant(1s), leaving, zoneA) == (addresses { "10.0.0.3:1" }));
}

Test(entry_peers, the_callers_zone_comes_first)
{
    entry_peers peers(instant {}, {});
    peers.heard(instant(1s), entry("10.0.0.2:1", zoneB));
    const auto found = peers.callerAddresses(instant(1s), entry("10.0.0.1:1", zoneA), zoneB);
    cr_assert_eq(found.front(), "10.0.0.2:1");
    cr_assert_eq(found.size(), 2);
}

// Pattern: all processes are killed at once. Each starts alone and must not take the whole of a shared budget.
Test(entry_peers, a_process_that_has_just_started_counts_entries_that_it_has_not_heard)
{
    entry_peers peers(instant {}, {});
    cr_assert_eq(peers.sharers(instant(1s)), 16);
    peers.heard(instant(4s), entry("10.0.0.2:1", zoneB));
    cr_assert_eq(peers.sharers(instant(5s)), 2);
    cr_assert_eq(peers.sharers(instant(25s)), 1);
    // Found by fresh-553b of fshga-ramp-grown: 36 entries that had just started shared a cold rate by 16.
    peers.noteListed(36);
    cr_assert_eq(peers.sharers(instant(1s)), 36);
    cr_assert_eq(peers.sharers(instant(25s)), 36);
}
