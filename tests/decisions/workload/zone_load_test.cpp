#include "decisions/workload/load_summary.h"

#include <criterion/criterion.h>

#include <cmath>
#include <numbers>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

constexpr double wavePeriod = 13;

// Demand that rises and falls by the amplitude in one zone after another.
std::function<double(std::size_t, duration)> wave(double amplitude)
{
    return [amplitude](std::size_t zone, duration time) {
        const double phase = std::chrono::duration<double>(time).count() / wavePeriod - static_cast<double>(zone) / 3;
        return 1 + amplitude * std::sin(2 * std::numbers::pi * phase);
    };
}

// Times that the part of an entry's requests for other zones rises again after a fall, as the log shows it.
int turnsOf(const work_world& world, std::size_t entry)
{
    const std::string name = " entry-" + std::to_string(entry) + " zone_shares";
    int turns = 0;
    int lowest = 0;
    int highest = 0;
    for (const std::string& line : world.log()) {
        if (line.find(name) == std::string::npos)
            continue;
        int share = 0;
        const std::string shares = line.substr(line.find("percent=") + 8, line.find(" time_percent") - line.find("percent=") - 8);
        for (auto at = shares.find('='); at != std::string::npos; at = shares.find('=', at + 1))
            share += std::stoi(shares.substr(at + 1));
        if (share < highest)
            lowest = std::min(lowest, share);
        if (share >= lowest + 20 && lowest < highest) {
            ++turns;
            highest = lowest = share;
        }
        if (share > highest)
            highest = lowest = share;
    }
    return turns;
}

} // namespace

// Pattern: demand rises and falls by 0.55 in one zone after another. Guards against zones that push requests to and fro, and against
// refusals while another zone has room.
Test(zone_load, a_wave_across_zones_is_spread_without_oscillation)
{
    work_world world({ .utilization = 0.75 });
    world.setDemand(wave(0.55));
    world.runUntil(62s);
    print("wave", world, summarize(world, 12s, 51s));
    double turns = 0;
    for (std::size_t entry = 0; entry < 71; ++entry)
        turns += turnsOf(world, entry);
    cr_log_info("turns of a share in each wave: %.2f", turns / 71 / 4);
    // One for each wave, and one more for the noise of single reports.
    cr_expect_leq(turns / 71 / 4, 2);
    cr_expect_leq(world.longestNeedlessRefusal(), 1s);
    cr_expect_geq(summarize(world, 12s, 51s).served, 0.99);
}

// Guards against requests that cross zones, where bytes cost, though each zone serves its own in time.
Test(zone_load, even_demand_stays_in_its_zone)
{
    work_world world({ .utilization = 0.6 });
    world.runUntil(40s);
    cr_expect_leq(world.fractionElsewhere(12s, 30s), 0.03);
}

// Guards against a zone whose callers wait at the endpoints that are left while other zones have room.
Test(zone_load, a_zone_that_loses_two_thirds_of_its_endpoints_is_helped)
{
    work_world world({ .utilization = 0.6 });
    world.at(20s, [&] {
        for (std::size_t engine = 0; engine < 16; ++engine)
            world.removeEngine(engine);
    });
    world.runUntil(45s);
    const load_summary seen = summarize(world, 22s, 34s);
    print("two thirds lost", world, seen);
    cr_expect_leq(world.longestNeedlessRefusal(), 1s);
    cr_expect_geq(seen.served, 0.99);
    cr_expect_geq(world.fractionElsewhere(22s, 34s), 0.1);
}

// Guards against decisions by reports that do not come: those of a zone are lost for 15 s.
Test(zone_load, a_zone_without_reports_goes_on)
{
    work_world world({ .utilization = 0.6 });
    world.at(20s, [&] { world.loseReports(1); });
    world.at(35s, [&] { world.loseReports({}); });
    world.runUntil(45s);
    const load_summary seen = summarize(world, 20s, 36s);
    print("reports lost", world, seen);
    cr_expect_leq(world.longestNeedlessRefusal(), 1s);
    cr_expect_geq(seen.served, 0.99);
}
