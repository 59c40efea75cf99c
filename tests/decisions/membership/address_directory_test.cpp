#include "decisions/membership/address_directory.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

using namespace appleramp;

namespace {

std::vector<listed_instance> entries(std::size_t zones, std::size_t perZone)
{
    std::vector<listed_instance> list;
    for (std::size_t index = 0; index < zones * perZone; ++index) {
        listed_instance entry;
        entry.instance = instance_id("entry-" + std::to_string(index));
        entry.zone = availability_zone_id("zone-" + std::to_string(index % zones));
        list.push_back(entry);
    }
    return list;
}

std::size_t pollers(const address_directory& directory, const std::vector<listed_instance>& list)
{
    return static_cast<std::size_t>(std::count_if(list.begin(), list.end(),
        [&directory](const auto& entry) { return directory.isPoller(entry.instance); }));
}

} // namespace

Test(address_directory, names_two_pollers_a_zone_whatever_the_size)
{
    for (const std::size_t perZone : { 2, 3, 24, 96 }) {
        const auto list = entries(20, perZone);
        address_directory directory;
        directory.setInstances(list);
        cr_assert_eq(pollers(directory, list), 40U);
    }
}

Test(address_directory, replaces_a_poller_that_leaves)
{
    auto list = entries(1, 5);
    address_directory directory;
    directory.setInstances(list);
    const auto leaving = std::find_if(list.begin(), list.end(),
        [&directory](const auto& entry) { return directory.isPoller(entry.instance); });
    leaving->state = instance_state::Leaving;
    directory.setInstances(list);
    list.erase(leaving);
    cr_assert_eq(pollers(directory, list), 2U);
}

Test(address_directory, takes_an_entry_that_the_list_does_not_show_for_a_poller)
{
    const address_directory directory;
    cr_assert(directory.isPoller(instance_id("entry-1")));
}

Test(address_directory, spreads_a_team_over_two_zones_and_omits_what_is_out)
{
    auto list = entries(2, 40);
    address_directory directory;
    directory.setInstances(list);
    for (int team = 0; team < 50; ++team) {
        std::set<availability_zone_id> zones;
        for (const auto& entry : directory.shardOf(team_id(std::to_string(team)), {}))
            zones.insert(entry.zone);
        cr_assert_eq(zones.size(), 2U);
    }
    fleet_configuration out;
    out.zonesOut.insert(availability_zone_id("zone-0"));
    for (const auto& entry : directory.shardOf(team_id("kitchen"), out))
        cr_assert(entry.zone == availability_zone_id("zone-1"));
}
