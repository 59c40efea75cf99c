#include "decisions/fleet/fleet_schedule.h"

#include <charconv>
#include <iostream>
#include <map>
#include <optional>
#include <string_view>

// Plays COUNT schedules of the direct fleet with consecutive seeds from SEED: measure_fleet_schedules --seed SEED --count COUNT. Prints
// the broken ones with the fewest faults that break them, and one JSON line with the counts. With --replay SEED it prints the faults
// of one schedule, the fewest that break it if it is broken, and each decision that the entries log meanwhile.

using namespace appleramp::tests;

namespace {

std::optional<std::uint64_t> numberAfter(int argc, char** argv, std::string_view flag)
{
    for (int index = 1; index + 1 < argc; ++index) {
        const std::string_view value = argv[index + 1];
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
        if (argv[index] == flag && parsed.ec == std::errc {} && parsed.ptr == value.data() + value.size())
            return number;
    }
    return std::nullopt;
}

void print(std::uint64_t seed, const fleet_schedule_result& result)
{
    std::cout << "seed " << seed << ": " << result.broken << '\n';
    for (const planned_fault& fault : fewestFaults(seed, result.faults))
        std::cout << "  " << textOf(fault) << '\n';
}

int replay(std::uint64_t seed)
{
    fleet_schedule_result result = runFleetSchedule(seed);
    if (!result.broken.empty())
        result.faults = fewestFaults(seed, result.faults);
    for (const planned_fault& fault : result.faults)
        std::cout << textOf(fault) << '\n';
    result = runFleetSchedule(seed, result.faults, [](const std::string& line) { std::cout << line << '\n'; });
    std::cout << (result.broken.empty() ? "no promise broken" : result.broken) << '\n';
    return result.broken.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    if (const auto seed = numberAfter(argc, argv, "--replay"); seed && argc == 3)
        return replay(*seed);
    const auto first = numberAfter(argc, argv, "--seed");
    const auto count = numberAfter(argc, argv, "--count");
    if (argc != 5 || !first || !count) {
        std::cerr << "usage: measure_fleet_schedules --seed SEED --count COUNT | --replay SEED (whole numbers)\n";
        return 2;
    }
    std::map<std::string, std::uint64_t> broken;
    std::uint64_t brokenSchedules = 0;
    for (std::uint64_t seed = *first; seed < *first + *count; ++seed) {
        const fleet_schedule_result result = runFleetSchedule(seed);
        if (result.broken.empty())
            continue;
        ++brokenSchedules;
        ++broken[result.broken.substr(0, result.broken.find(':'))];
        print(seed, result);
    }
    std::cout << R"({"schedules":)" << *count << R"(,"broken":)" << brokenSchedules << R"(,"by_promise":{)";
    for (auto each = broken.begin(); each != broken.end(); ++each)
        std::cout << (each == broken.begin() ? "" : ",") << '"' << each->first << "\":" << each->second;
    std::cout << "}}\n";
    return brokenSchedules == 0 ? 0 : 1;
}
