#include "store_world.h"

#include <cstdio>
#include <string>

// Prints, for outages of each kind, what they cost and how long each step after the store's return takes.

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

double seconds(std::optional<duration> time) { return time ? std::chrono::duration<double>(*time).count() : -1; }

void measure(const char* what, store_mode mode, duration length, bool fastReturn, std::uint64_t seed)
{
    store_world world({ .seed = seed, .fastReturn = fastReturn });
    // Not a multiple of the long polls' time, so that polls are in progress.
    constexpr duration start = 12370ms;
    const duration back = start + length;
    std::uint64_t callsBefore = 0;
    std::uint64_t callsDuring = 0;
    std::uint64_t callsAtZero = 0;
    world.at(start - 5s, [&] { callsAtZero = world.store().calls(); });
    world.at(start, [&] {
        callsBefore = world.store().calls();
        world.store().setMode(mode);
    });
    world.at(back, [&] {
        callsDuring = world.store().calls() - callsBefore;
        world.store().setMode(store_mode::Up);
    });
    std::uint64_t callsAfter = 0;
    world.at(back + 2s, [&] { callsAfter = world.store().calls() - callsBefore - callsDuring; });
    world.runUntil(back + 8s);
    const auto delays = world.confirmationDelays(back);
    const auto lost = world.lastLogged("store_lost", start);
    const auto regained = world.lastLogged("store_regained", back);
    std::printf("%-7s %4.0f s %-5s quiet %5.1f/s outage %6.1f/s after %5.1f/s lost %5.2f regained %5.2f confirmed first %5.2f median %5.2f last %5.2f "
                "served in outage %.3f, 0-0.5 s %.3f, 0.5-1 s %.3f, 1-2 s %.3f, lost lines %zu\n",
        what, seconds(length), fastReturn ? "fast" : "today", static_cast<double>(callsBefore - callsAtZero) / 5,
        static_cast<double>(callsDuring) / seconds(length), static_cast<double>(callsAfter) / 2, lost ? seconds(*lost - start) : -1,
        regained ? seconds(*regained - back) : -1, seconds(delays.front()), seconds(delays[delays.size() / 2]), seconds(delays.back()),
        world.served(start, back), world.served(back, back + 500ms), world.served(back + 500ms, back + 1s), world.served(back + 1s, back + 2s),
        world.logged("store_lost"));
}

} // namespace

int main(int argc, char** argv)
{
    const bool fastReturn = argc > 1 && std::string(argv[1]) == "fast";
    for (const duration length : { 2s, 4s, 8s, 20s }) {
        measure("busy", store_mode::Busy, length, fastReturn, 1);
        measure("reset", store_mode::Reset, length, fastReturn, 2);
        measure("silent", store_mode::Silent, length, fastReturn, 3);
        measure("frozen", store_mode::Frozen, length, fastReturn, 4);
    }
    return 0;
}
