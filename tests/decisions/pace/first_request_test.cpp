#include "decisions/pace/pace_world.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

// Guards against started endpoints that stay idle where each entry has few requests: 71 entries, 28.7 requests per second. The first one
// reaches each endpoint within 0.3 s.

namespace {

void expectFirstRequests(std::size_t startedTogether)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        pace_world world({ .seed = seed, .entries = 71, .endpoints = 7, .requestsPerSecond = 28.7 });
        for (std::size_t endpoint = 0; endpoint < startedTogether; ++endpoint) {
            world.at(6s, [&world, endpoint] { world.stopEndpoint(endpoint); });
            world.at(8s, [&world, endpoint] { world.startEndpoint(endpoint); });
        }
        world.runUntil(10s);
        for (std::size_t endpoint = 0; endpoint < startedTogether; ++endpoint) {
            const duration first = world.firstRequestAfter(endpoint, 8s);
            cr_expect_leq(first.count(), 300'000, "seed %lu, endpoint %zu: first request after %ld us", seed, endpoint, first.count());
        }
    }
}

} // namespace

Test(first_request, reaches_one_started_endpoint_soon) { expectFirstRequests(1); }

Test(first_request, reaches_three_that_start_together_soon) { expectFirstRequests(3); }
