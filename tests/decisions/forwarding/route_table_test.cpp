#include "decisions/forwarding/route_table.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

route routeTo(std::string name, std::string host, std::string prefix)
{
    route result;
    result.name = std::move(name);
    result.host = std::move(host);
    result.prefix = std::move(prefix);
    result.services = { { service_id("s"), 1 } };
    return result;
}

route_table table()
{
    routing_configuration configuration;
    configuration.version = 4;
    configuration.routes = { routeTo("short", "a.example", "/x/"), routeTo("long", "a.example", "/x/y/"),
        routeTo("other", "b.example", "/x/") };
    configuration.teams = std::vector<team> { { team_id("t1"), { "k1", "k2" }, 3 } };
    return route_table(configuration);
}

} // namespace

Test(route_table, the_longest_prefix_of_the_host_wins)
{
    const route_table routes = table();
    cr_assert_eq(routes.find("a.example", "/x/y/z")->name, "long");
    cr_assert_eq(routes.find("a.example", "/x/z")->name, "short");
    cr_assert_eq(routes.find("b.example", "/x/y/z")->name, "other");
    cr_assert_null(routes.find("a.example", "/xy"));
    cr_assert_null(routes.find("c.example", "/x/"));
}

Test(route_table, a_key_names_its_team)
{
    const route_table routes = table();
    cr_assert_eq(routes.teamForKey("k2")->id.str(), "t1");
    cr_assert_null(routes.teamForKey("k"));
}

// Requests would be let in without a key where a list of teams that lost its last one counted as no list.
Test(route_table, keys_are_required_also_where_no_team_is_left)
{
    routing_configuration configuration;
    cr_assert_not(route_table(configuration).requiresKeys());
    configuration.teams.emplace();
    const route_table closed(configuration);
    cr_assert(closed.requiresKeys());
    cr_assert(closed.teams().empty());
    cr_assert_null(closed.teamForKey("k1"));
}

// Requests without a key would run as a team whose list has an empty one.
Test(route_table, an_empty_key_names_no_team)
{
    routing_configuration configuration;
    configuration.teams = std::vector<team> { { team_id("t1"), { "", "k1" }, {} } };
    const route_table routes(configuration);
    cr_assert_null(routes.teamForKey(""));
    cr_assert_eq(routes.teamForKey("k1")->id.str(), "t1");
}

Test(route_table, services_are_picked_by_weight)
{
    route split = routeTo("split", "a", "/");
    split.services = { { service_id("nine"), 90 }, { service_id("one"), 10 } };
    cr_assert_eq(pickServiceByWeight(split, 0.0).str(), "nine");
    cr_assert_eq(pickServiceByWeight(split, 0.89).str(), "nine");
    cr_assert_eq(pickServiceByWeight(split, 0.91).str(), "one");
    cr_assert_eq(pickServiceByWeight(split, 0.999999).str(), "one");
    split.services = { { service_id("most"), 0.9 }, { service_id("few"), 0.1 }, { service_id("none"), 0 } };
    cr_assert_eq(pickServiceByWeight(split, 0.89).str(), "most");
    cr_assert_eq(pickServiceByWeight(split, 0.91).str(), "few");
    cr_assert_eq(pickServiceByWeight(split, 1).str(), "few");
}
