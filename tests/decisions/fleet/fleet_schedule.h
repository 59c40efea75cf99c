#pragma once

#include "decisions/fleet/fault_plan.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace appleramp::tests {

struct fleet_schedule_result {
    std::vector<planned_fault> faults;
    // The first promise that was broken, and how; empty if none was.
    std::string broken;
    // Fraction of the requests that were served after the last fault.
    double servedAfterwards = 0;
};

// Plays the faults that the seed draws at a fleet whose size it draws as well.
fleet_schedule_result runFleetSchedule(std::uint64_t seed);
// As above, with these faults only.
fleet_schedule_result runFleetSchedule(std::uint64_t seed, const std::vector<planned_fault>& faults, const std::function<void(const std::string&)>& trace = {});
// The fewest of the faults with which the schedule still breaks a promise.
std::vector<planned_fault> fewestFaults(std::uint64_t seed, std::vector<planned_fault> faults);

} // namespace appleramp::tests
