#include "decisions/sharing/room_burst.h"

#include "decisions/sharing/sharing_kinds.h"

#include <algorithm>

namespace appleramp::tests {

using namespace std::chrono_literals;

burst_results playBurst(sharing_world_settings settings, duration length, const std::function<void(sharing_world&, bool)>& setBurst)
{
    burst_results results;
    for (settings.seed = 1; settings.seed <= worldSeeds; ++settings.seed) {
        sharing_world world(settings);
        world.at(10s, [&] { setBurst(world, true); });
        world.at(10s + length, [&] { setBurst(world, false); });
        world.runUntil(10s + length + 12s);
        for (int kind = 0; kind < 3; ++kind) {
            const caller_results got = world.results(10s, 10s + length, kind);
            results.onTime[kind] += got.onTimeFraction() / worldSeeds;
            results.worth[kind] += got.worthFraction() / worldSeeds;
            results.served[kind] += got.servedFraction() / worldSeeds;
        }
        results.ofPossible += world.results(10s, 10s + length).worth / world.possibleWorth(10s, 10s + length) / worldSeeds;
        results.onTimeAfter += world.results(10s + length + 4s, 10s + length + 8s).onTimeFraction() / worldSeeds;
        results.overtaken = std::max(results.overtaken, world.longestOvertaken());
        results.falseNotRun += world.falseNotRun();
    }
    return results;
}

std::pair<double, double> worthOfRetries(bool returnsToSameEntry)
{
    double patient = 0;
    double impatient = 0;
    for (std::uint64_t seed = 1; seed <= worldSeeds; ++seed) {
        sharing_world world({ .seed = seed, .impatientCallers = 0.3, .returnsToSameEntry = returnsToSameEntry, .kinds = ledgerKinds() });
        world.at(10s, [&world] { world.setRate(2, 100); world.setRate(0, 112); });
        world.at(16s, [&world] { world.setRate(2, 20); world.setRate(0, 45); });
        world.runUntil(28s);
        patient += world.results(10s, 16s, 2, -1, 0).worthFraction() / worldSeeds;
        impatient += world.results(10s, 16s, 2, -1, 1).worthFraction() / worldSeeds;
    }
    return { impatient, patient };
}

} // namespace appleramp::tests
