#include "decisions/forwarding/endpoint_fleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace appleramp;
using namespace std::chrono_literals;

// Guards against a cold endpoint that gets more than cold rate * 1.5 + 5 requests in some second, though each entry keeps to its
// own share: where a share is below one request, entries that were silent may all send in the same second.

namespace {

const service_id service("service");
const availability_zone_id zone("a");
const endpoint_id target("e1");
const std::string address = "10.0.0.1:80";

endpoint_record record() { return { target, service, address, zone, 10, false, {}, 1 }; }

struct scene {
    std::size_t entries = 48;
    double coldRate = 28;
    // Entries that subscribe to the endpoint's reports; zero if it has no agent.
    std::size_t subscribers = 0;
    // The first `misled` entries count only this many.
    std::size_t misled = 0;
    std::size_t misledCount = 0;
    // All entries lose their memory at that time.
    duration restartAt = 1h;
};

std::string nameOf(std::size_t entry) { return "front-" + std::to_string(entry); }

endpoint_fleet startedEntry(const scene& played, std::size_t entry, duration now)
{
    const std::size_t count = entry < played.misled ? played.misledCount : played.entries;
    std::vector<std::string> names;
    for (std::size_t other = 0; other < count; ++other)
        names.push_back(nameOf(other));
    endpoint_fleet fleet({});
    fleet.setEntryPosition(static_cast<double>(entry) / static_cast<double>(count));
    fleet.setEntries(nameOf(entry), names);
    fleet.addOrUpdate(instant(now), record());
    if (played.subscribers > 0)
        fleet.setSubset({ address }, entry < played.subscribers ? std::set<std::string> { address } : std::set<std::string> {});
    return fleet;
}

// Every entry sends whenever it may, from the tenth second on. Returns the requests of the worst one-second window.
std::ptrdiff_t worstSecond(const scene& played)
{
    std::vector<endpoint_fleet> fleets;
    for (std::size_t entry = 0; entry < played.entries; ++entry)
        fleets.push_back(startedEntry(played, entry, 0s));
    std::vector<duration> sends;
    for (duration now = 10s; now < 16s; now += 25ms) {
        for (std::size_t entry = 0; entry < played.entries; ++entry) {
            if (now == played.restartAt)
                fleets[entry] = startedEntry(played, entry, now);
            endpoint_fleet& fleet = fleets[entry];
            if (entry < played.subscribers)
                fleet.recordLoad(instant(now), { .address = address, .subscribers = static_cast<std::uint32_t>(played.subscribers), .startedAtMs = 1 });
            const std::size_t count = entry < played.misled ? played.misledCount : played.entries;
            const placement_query query { .now = instant(now), .service = service, .zone = zone, .entryCount = count, .coldRequestsPerSecond = played.coldRate };
            while (fleet.choose(query)) {
                fleet.recordSend(query.now, target);
                sends.push_back(now);
            }
        }
    }
    std::ptrdiff_t most = 0;
    for (const duration begin : sends)
        most = std::max(most, std::count_if(sends.begin(), sends.end(), [&](duration at) { return at >= begin && at < begin + 1s; }));
    return most;
}

void expectWithinLimit(const scene& played)
{
    const std::ptrdiff_t most = worstSecond(played);
    const double limit = played.coldRate * 1.5 + 5;
    cr_expect_leq(static_cast<double>(most), limit, "%zu entries, %zu subscribe, %zu count %zu: %td requests, %.1f allowed", played.entries,
        played.subscribers, played.misled, played.misledCount, most, limit);
    cr_expect_gt(most, 0);
}

} // namespace

Test(cold_limit, is_kept_by_more_entries_than_it_allows_requests)
{
    for (const std::size_t entries : { 1, 2, 8, 13, 27, 35, 46, 48, 71, 149, 480 }) {
        for (const double coldRate : { 15.0, 26.0, 28.0 })
            expectWithinLimit({ .entries = entries, .coldRate = coldRate });
    }
}

Test(cold_limit, is_kept_where_some_entries_get_the_reports)
{
    for (const std::size_t subscribers : { 1, 8, 12, 20, 30, 71 })
        expectWithinLimit({ .entries = 71, .coldRate = 26, .subscribers = subscribers });
}

// Any entry may know an older list of the entries than another, or count those that it hears.
Test(cold_limit, is_kept_while_entries_count_differently)
{
    for (const std::size_t misled : { 1, 8, 13, 24, 27, 35 })
        expectWithinLimit({ .entries = 71, .coldRate = 26, .misled = misled, .misledCount = misled });
    for (const std::size_t misled : { 1, 8, 16, 24, 28, 36 })
        expectWithinLimit({ .entries = 48, .coldRate = 28, .misled = misled, .misledCount = misled });
}

// An entry that restarts does not know what it has sent in the last second.
Test(cold_limit, is_kept_by_entries_that_all_restart)
{
    for (const std::size_t entries : { 8, 35, 48, 71 })
        expectWithinLimit({ .entries = entries, .coldRate = 26, .restartAt = 12500ms });
}
