#include "decisions/forwarding/entry_peers.h"

#include <criterion/criterion.h>

#include <map>

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

// Guards against giving callers the addresses of killed machines for long.
Test(entry_peers, a_silent_entry_is_left_out)
{
    entry_peers peers(instant {}, {});
    peers.recordPresence(instant(10s), entry("10.0.0.2:1", zoneB));
    const auto self = entry("10.0.0.1:1", zoneA);
    cr_assert(peers.callerAddresses(instant(11s), self, zoneA) == (addresses { "10.0.0.1:1", "10.0.0.2:1" }));
    cr_assert(peers.callerAddresses(instant(13s), self, zoneA) == (addresses { "10.0.0.1:1" }));
}

Test(entry_peers, entries_that_leave_or_know_nothing_are_left_out)
{
    entry_peers peers(instant {}, {});
    peers.recordPresence(instant(1s), entry("10.0.0.2:1", zoneB, false));
    peers.recordPresence(instant(1s), entry("10.0.0.3:1", zoneB));
    const auto leaving = entry("10.0.0.1:1", zoneA, false);
    cr_assert(peers.callerAddresses(instant(1s), leaving, zoneA) == (addresses { "10.0.0.3:1" }));
}

Test(entry_peers, the_callers_zone_comes_first)
{
    entry_peers peers(instant {}, {});
    peers.recordPresence(instant(1s), entry("10.0.0.2:1", zoneB));
    const auto found = peers.callerAddresses(instant(1s), entry("10.0.0.1:1", zoneA), zoneB);
    cr_assert_eq(found.front(), "10.0.0.2:1");
    cr_assert_eq(found.size(), 2);
}

// Guards against each entry using the whole of a shared budget after all processes were killed at once: each starts
// without knowing the others.
Test(entry_peers, a_process_that_has_just_started_counts_entries_that_it_has_not_heard)
{
    entry_peers peers(instant {}, {});
    cr_assert_eq(peers.entryCount(instant(1s)), 16);
    peers.recordPresence(instant(4s), entry("10.0.0.2:1", zoneB));
    cr_assert_eq(peers.entryCount(instant(5s)), 2);
    cr_assert_eq(peers.entryCount(instant(25s)), 1);
    // Failure of fresh-553b of fshga-ramp-grown: 36 entries that had just started divided a cold rate by 16 only.
    peers.setListedEntries(36);
    cr_assert_eq(peers.entryCount(instant(1s)), 36);
    cr_assert_eq(peers.entryCount(instant(25s)), 36);
}

// Pattern: 149 entries in five zones, of which callers read 64 addresses and take one at random. Without a shuffle every zone's
// callers fill up with the same entries, whose load is four times that of the others.
Test(entry_peers, callers_of_all_zones_spread_over_all_entries)
{
    constexpr std::size_t entries = 149;
    constexpr std::size_t zones = 5;
    const auto zoneOf = [](std::size_t index) { return availability_zone_id("zone-" + std::to_string(index % zones)); };
    const auto addressOf = [](std::size_t index) { return "10." + std::to_string(index % zones) + ".0." + std::to_string(index) + ":80"; };
    std::map<std::string, double> load;
    for (std::size_t self = 0; self < entries; ++self) {
        entry_peers peers(instant {}, {});
        for (std::size_t other = 0; other < entries; ++other) {
            if (other != self)
                peers.recordPresence(instant(1s), entry(addressOf(other), zoneOf(other)));
        }
        for (std::size_t zone = 0; zone < zones; ++zone) {
            const auto answer = peers.callerAddresses(instant(1s), entry(addressOf(self), zoneOf(self)), zoneOf(zone));
            cr_assert_eq(answer.size(), 64);
            for (const std::string& address : answer)
                load[address] += 1.0 / static_cast<double>(zones * answer.size());
        }
    }
    for (std::size_t index = 0; index < entries; ++index) {
        cr_assert_lt(load[addressOf(index)], 1.3);
        cr_assert_gt(load[addressOf(index)], 0.7);
    }
}

// Pattern: a large fleet, in which the reader of a zone tells the other zones of its entries. A dead entry must not live longer
// there than where it was heard, and old news must not hide newer ones.
Test(entry_peers, what_is_passed_on_keeps_its_age)
{
    entry_peers reader(instant {}, {});
    reader.recordPresence(instant(10s), entry("10.0.0.2:1", zoneA));
    reader.recordPresence(instant(10s), entry("10.0.0.3:1", zoneB));
    const auto heard = reader.heardIn(instant(11500ms), zoneA);
    cr_assert_eq(heard.size(), 1);
    cr_assert(heard[0].age == duration(1500ms));
    cr_assert(reader.heardIn(instant(13s), zoneA).empty());

    entry_peers other(instant {}, {});
    const auto self = entry("10.0.0.9:1", zoneB);
    other.recordPresence(instant(11500ms) - heard[0].age, heard[0].presence);
    cr_assert_eq(other.callerAddresses(instant(12s), self, zoneB).size(), 2);
    cr_assert_eq(other.callerAddresses(instant(12300ms), self, zoneB).size(), 1);
    // It said itself that it stops; the zone's reader has not heard that yet.
    other.recordPresence(instant(12s), entry("10.0.0.2:1", zoneA, false));
    other.recordPresence(instant(11900ms), entry("10.0.0.2:1", zoneA));
    cr_assert_eq(other.callerAddresses(instant(12s), self, zoneB).size(), 1);
}
