#include "decisions/forwarding/endpoint_subset.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace appleramp;

namespace {

availability_zone_id zoneOf(std::size_t index, std::size_t zones) { return availability_zone_id("zone-" + std::to_string(index % zones)); }

std::vector<reporting_endpoint> fleet(std::size_t count, std::size_t zones)
{
    std::vector<reporting_endpoint> endpoints;
    for (std::size_t index = 0; index < count; ++index)
        endpoints.push_back({ "10.0." + std::to_string(index / 250) + '.' + std::to_string(index % 250) + ":8103", zoneOf(index, zones) });
    return endpoints;
}

std::set<std::string> subsetOf(std::size_t entry, std::size_t entries, std::size_t zones, std::span<const reporting_endpoint> endpoints)
{
    return chooseSubset("front-" + std::to_string(entry), zoneOf(entry, zones), entries, endpoints, {});
}

// Number of entries that chose each endpoint.
std::map<std::string, std::size_t> subscribers(std::size_t entries, std::size_t zones, std::span<const reporting_endpoint> endpoints)
{
    std::map<std::string, std::size_t> counts;
    for (const reporting_endpoint& endpoint : endpoints)
        counts[endpoint.address] = 0;
    for (std::size_t entry = 0; entry < entries; ++entry) {
        for (const std::string& address : subsetOf(entry, entries, zones, endpoints))
            ++counts.at(address);
    }
    return counts;
}

} // namespace

// Pattern: 149 entries before 192 engines in five zones. No engine is left out, none is in far more subsets than others.
Test(endpoint_subset, every_endpoint_has_entries_at_each_size)
{
    struct size {
        std::size_t entries;
        std::size_t endpoints;
        std::size_t mostSubscribers;
    };
    for (const size& sizes : { size { 8, 16, 8 }, size { 30, 72, 22 }, size { 149, 192, 40 }, size { 480, 12'000, 25 } }) {
        const auto endpoints = fleet(sizes.endpoints, 5);
        for (const auto& [address, count] : subscribers(sizes.entries, 5, endpoints)) {
            cr_assert_geq(count, sizes.endpoints > 1000 ? 0U : 1U, "%s of %zu", address.c_str(), sizes.endpoints);
            cr_assert_leq(count, sizes.mostSubscribers, "%s of %zu: %zu", address.c_str(), sizes.endpoints, count);
        }
    }
}

Test(endpoint_subset, small_fleets_are_used_as_a_whole)
{
    const auto endpoints = fleet(16, 3);
    cr_assert_eq(subsetOf(0, 8, 3, endpoints).size(), 16);
}

// A zone that is lost must leave each entry with endpoints in every other zone.
Test(endpoint_subset, it_spans_all_zones_and_prefers_the_own_one)
{
    const auto endpoints = fleet(192, 5);
    for (std::size_t entry = 0; entry < 149; ++entry) {
        const auto subset = subsetOf(entry, 149, 5, endpoints);
        std::map<std::string, std::size_t> perZone;
        for (const reporting_endpoint& endpoint : endpoints)
            perZone[endpoint.zone.str()] += subset.contains(endpoint.address) ? 1 : 0;
        cr_assert_eq(subset.size(), 20);
        for (const auto& [zone, count] : perZone)
            cr_assert_eq(count, zone == zoneOf(entry, 5).str() ? 12 : 2);
    }
}

// An engine that goes must move no other choice of an entry: each keeps its other endpoints and gets at most one new one.
Test(endpoint_subset, a_change_of_members_moves_few_choices)
{
    const auto before = fleet(192, 5);
    auto after = before;
    after.erase(after.begin() + 77);
    for (std::size_t entry = 0; entry < 149; ++entry) {
        const auto one = subsetOf(entry, 149, 5, before);
        const auto other = subsetOf(entry, 149, 5, after);
        std::vector<std::string> lost;
        std::set_difference(one.begin(), one.end(), other.begin(), other.end(), std::back_inserter(lost));
        cr_assert_leq(lost.size(), 1);
    }
}

Test(endpoint_subset, an_entry_in_a_zone_without_endpoints_uses_the_others)
{
    const auto endpoints = fleet(192, 5);
    const auto subset = chooseSubset("front-1", availability_zone_id("elsewhere"), 149, endpoints, {});
    cr_assert_geq(subset.size(), 20);
}
