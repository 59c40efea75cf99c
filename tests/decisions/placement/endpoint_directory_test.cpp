#include "decisions/placement/endpoint_directory.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

constexpr instant now { std::chrono::seconds(1) };
const availability_zone_id home("zone-a");

hello agent(const std::string& instance, const std::string& zone)
{
    hello greeting { instance_id(instance), process_role::Agent, availability_zone_id(zone), endpoint_description {} };
    greeting.endpoint->services = { service_id("m") };
    return greeting;
}

service_request request()
{
    service_request asked;
    asked.service = service_id("m");
    return asked;
}

slot_grant slots(std::uint32_t count) { return { 1, count, std::chrono::seconds(2), false, {} }; }

// Two endpoints with two slots each: link 1 in the entry's zone, link 2 in another zone.
endpoint_directory twoEndpoints()
{
    endpoint_directory directory;
    directory.add(1, 1, agent("agent-2", "zone-a"));
    directory.add(2, 1, agent("agent-1", "zone-b"));
    directory.applyGrant(1, slots(2), now);
    directory.applyGrant(2, slots(2), now);
    return directory;
}

} // namespace

Test(endpoint_directory, prefers_its_zone_and_then_the_emptier_endpoint)
{
    auto directory = twoEndpoints();
    cr_assert_eq(*directory.choose(request(), home, {}, {}, now), 1U);
    directory.takeSlot(1);
    cr_assert_eq(*directory.choose(request(), home, {}, {}, now), 2U);
}

Test(endpoint_directory, chooses_nothing_in_a_zone_that_is_out)
{
    auto directory = twoEndpoints();
    fleet_configuration configuration;
    configuration.zonesOut = { home };
    cr_assert_eq(*directory.choose(request(), home, {}, configuration, now), 2U);
    cr_assert_eq(*directory.chooseForExclusive(request(), {}, configuration), 2U);
    configuration.zonesOut.insert(availability_zone_id("zone-b"));
    cr_assert(!directory.choose(request(), home, {}, configuration, now));
    cr_assert(!directory.chooseForExclusive(request(), {}, configuration));
}

Test(endpoint_directory, does_not_use_a_grant_past_its_lifetime)
{
    auto directory = twoEndpoints();
    cr_assert(!directory.choose(request(), home, {}, {}, now + std::chrono::seconds(2)));
}

Test(endpoint_directory, sends_all_that_must_run_alone_to_one_endpoint)
{
    auto directory = twoEndpoints();
    directory.takeSlot(2);
    cr_assert_eq(*directory.chooseForExclusive(request(), {}, {}), 2U);
    cr_assert_eq(*directory.chooseForExclusive(request(), { 2 }, {}), 1U);
}
