#include "decisions/fleet/fleet_schedule.h"

#include "decisions/fleet/fleet_world.h"

namespace appleramp::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration faultsFrom = 4s;
constexpr duration faultsUntil = 24s;
// All faults and what follows from them are over, and the promised time of recovery as well.
constexpr duration serviceFrom = 42s;
constexpr duration serviceUntil = 48s;
constexpr duration scheduleEnd = 50s;
constexpr double usualService = 0.95;

} // namespace

fleet_schedule_result runFleetSchedule(std::uint64_t seed) { return runFleetSchedule(seed, planFaults(seed, faultsFrom, faultsUntil)); }

fleet_schedule_result runFleetSchedule(std::uint64_t seed, const std::vector<planned_fault>& faults, const std::function<void(const std::string&)>& trace)
{
    fleet_world world({ .seed = seed, .entries = 2 + seed % 7, .engines = 5 + seed % 8, .hasExperts = seed % 2 == 0, .agentsReportDeaths = seed % 3 != 0 });
    world.traceTo(trace);
    world.play(faults);
    world.runUntil(scheduleEnd);
    fleet_schedule_result result { faults, world.broken(), world.served(serviceFrom, serviceUntil) };
    if (result.broken.empty() && result.servedAfterwards < usualService)
        result.broken = "service: " + std::to_string(result.servedAfterwards) + " served after the faults";
    return result;
}

std::vector<planned_fault> fewestFaults(std::uint64_t seed, std::vector<planned_fault> faults)
{
    for (std::size_t index = 0; index < faults.size();) {
        auto fewer = faults;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(index));
        if (runFleetSchedule(seed, fewer).broken.empty())
            ++index;
        else
            faults = std::move(fewer);
    }
    return faults;
}

} // namespace appleramp::tests
