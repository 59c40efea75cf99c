#include "decisions/fleet/fault_plan.h"

#include <algorithm>
#include <array>
#include <random>
#include <string_view>

namespace appleramp::tests {

namespace {

constexpr std::array<std::string_view, 14> kindNames { "restart_entry", "restart_all_entries", "freeze_entry", "cut_entry", "crash_engine", "engine_leaves",
    "engine_pauses", "engine_names_limit", "lose_datagrams", "lose_answers", "zone_out", "crashing_request",
    "crashing_part", "store_away" };
constexpr std::size_t leastFaults = 4;
constexpr std::size_t mostFaults = 14;
constexpr double shortestSeconds = 0.3;
constexpr double longestSeconds = 6;

} // namespace

std::vector<planned_fault> planFaults(std::uint64_t seed, duration from, duration until)
{
    std::mt19937_64 random(seed);
    const auto fraction = [&] { return std::uniform_real_distribution<double>(0, 1)(random); };
    const auto between = [&](std::size_t least, std::size_t most) { return std::uniform_int_distribution<std::size_t>(least, most)(random); };
    std::vector<planned_fault> faults(between(leastFaults, mostFaults));
    for (planned_fault& fault : faults) {
        fault.at = from + duration(static_cast<duration::rep>(fraction() * static_cast<double>((until - from).count())));
        fault.kind = static_cast<fault_kind>(between(0, kindNames.size() - 1));
        fault.target = between(0, 1000);
        const std::chrono::duration<double> length(shortestSeconds + fraction() * (longestSeconds - shortestSeconds));
        fault.length = std::chrono::duration_cast<duration>(length);
        fault.strength = fraction();
    }
    std::sort(faults.begin(), faults.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
    return faults;
}

std::string textOf(const planned_fault& fault)
{
    const auto milliseconds = [](duration time) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms"; };
    return std::string(kindNames.at(static_cast<std::size_t>(fault.kind))) + " " + std::to_string(fault.target) + " at " + milliseconds(fault.at) + " for "
        + milliseconds(fault.length) + ", strength " + std::to_string(fault.strength);
}

} // namespace appleramp::tests
