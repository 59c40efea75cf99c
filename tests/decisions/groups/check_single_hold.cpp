#include "single_hold_checker.h"

#include <cstdlib>
#include <iostream>

// Tries every interleaving of a group: check_single_hold RANKS CASE RESTARTS TIMEOUTS [MAX_STATES]
// Cases: one (one request), twice (the same map for the next pass as well, by another coordinator and with another holder),
// other (the same with another map), replaced (a coordinator replaces the prepared map of rank 0), mixed (one request each of both
// protocols, for one pass).
int main(int argc, char** argv)
{
    using namespace appleramp;
    if (argc < 5 || argc > 6) {
        std::cerr << "usage: check_single_hold RANKS CASE RESTARTS TIMEOUTS [MAX_STATES]\n";
        return 2;
    }
    const std::string kind = argv[2];
    const auto number = [argv](int index) { return static_cast<unsigned>(std::strtoul(argv[index], nullptr, 10)); };
    checked_group group { .ranks = number(1), .requests = { { { 1, 7, 201 }, 1 } }, .restarts = number(3), .timeouts = number(4) };
    if (kind == "twice")
        group.requests.push_back({ { 1, 7, 202 }, 0 });
    else if (kind == "other")
        group.requests.push_back({ { 1, 8, 202 }, 0 });
    else if (kind == "replaced")
        group.replacedRank = 0;
    else if (kind == "mixed")
        group.requests.push_back({ { 1, 7, 201 }, std::nullopt });
    if (argc == 6)
        group.maxStates = std::strtoull(argv[5], nullptr, 10);
    const check_result result = checkSingleHold(group);
    std::cout << argv[1] << " ranks, " << kind << ", " << argv[3] << " restarts, " << argv[4] << " time limits: " << result.states << " states, " << result.transitions << " steps, "
              << (result.isComplete ? "complete" : "not complete") << ", mixed passes " << result.mixedPasses << ", passes with a new map "
              << result.committedPasses << ", without " << result.abortedPasses << '\n';
    for (const std::string& step : result.steps)
        std::cout << "  " << step << '\n';
    return result.mixedPasses == 0 ? 0 : 1;
}
