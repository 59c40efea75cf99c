#include "platform_rows.h"
#include "store_world.h"

#include <criterion/criterion.h>

#include <array>
#include <string>

// The next version of a configuration names its teams in any form, at an entry that runs, at one that learns of it from its zone's
// reader, and at one that starts later. A key that no readable configuration holds is never used for longer than the bound.

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

constexpr duration changed = 10s;
constexpr duration bound = 5s;
constexpr duration settled = changed + bound;
constexpr duration restarted = 17s;
constexpr duration end = 24s;
const std::string unknownKey = "never-was";
const std::string noKey;

std::string withTeams(const std::string& teams) { return R"(,"tenants":)" + teams; }

const std::string keptTeam = R"({"name":"one","api_keys":["kept"]})";
const std::string firstTeams = "[" + keptTeam + R"(,{"name":"two","api_keys":["old"]}])";

// A reader of its zone, one that it tells, and one that starts after the change.
const std::string reader = store_world::name(0, 0);
const std::string told = store_world::name(0, 1);
const std::string late = store_world::name(0, 2);
const std::array<std::string, 3> entries { reader, told, late };

std::unique_ptr<store_world> play(const std::string& nextMembers, bool fastReturn)
{
    store_world_settings settings { .zones = { 3 }, .fastReturn = fastReturn };
    settings.callerKeys = { "kept", "old", unknownKey, noKey };
    settings.adapter = std::make_shared<platform_rows>();
    settings.firstConfiguration = documentOf(1, withTeams(firstTeams));
    auto world = std::make_unique<store_world>(settings);
    world->at(changed - 1s, [world = world.get()] { world->kill(late); });
    world->at(changed, [world = world.get(), nextMembers] { world->store().put("op", "config", documentOf(2, nextMembers)); });
    world->at(restarted, [world = world.get()] { world->restart(late); });
    world->runUntil(end);
    return world;
}

void expectUnused(const store_world& world, const std::string& key, const std::string& form)
{
    for (const std::string& entry : entries) {
        const auto used = world.lastUse(entry, key, settled);
        cr_expect_not(used.has_value(), "%s: %s used key '%s' %ld us after the bound", form.c_str(), entry.c_str(), key.c_str(),
            static_cast<long>(used.value_or(duration::zero()).count()));
    }
}

void expectUsed(const store_world& world, const std::string& key, const std::string& form)
{
    for (const std::string& entry : entries)
        cr_expect(world.lastUse(entry, key, restarted + 1s).has_value(), "%s: %s did not use key '%s'", form.c_str(), entry.c_str(), key.c_str());
}

} // namespace

// An empty list of teams was read as "no keys are needed": all routes opened to everybody.
Test(configuration_forms, a_list_of_teams_without_keys_closes_the_routes)
{
    for (const bool fastReturn : { false, true }) {
        for (const char* const teams : { "[]", R"([{"name":"two"}])", R"([{"name":"two","api_keys":[]}])" }) {
            const auto world = play(withTeams(teams), fastReturn);
            for (const std::string& key : { std::string("kept"), std::string("old"), unknownKey, noKey })
                expectUnused(*world, key, teams);
        }
    }
}

// Requests without a key ran as a team with an empty one, and a word in place of the list of keys was one of them.
Test(configuration_forms, what_is_no_key_names_no_team)
{
    for (const bool fastReturn : { false, true }) {
        for (const char* const teams : { R"([{"name":"two","api_keys":[""]}])", R"([{"name":"two","api_keys":"old"}])", R"([{"name":"two","api_keys":{}}])",
                 R"([{"name":"two","api_keys":null}])", R"([{"name":"two","api_keys":[["old"],null,7]}])" }) {
            const auto world = play(withTeams(teams), fastReturn);
            for (const std::string& key : { std::string("kept"), std::string("old"), unknownKey, noKey })
                expectUnused(*world, key, teams);
        }
    }
}

// So were null and an empty object in place of the list.
Test(configuration_forms, teams_of_another_type_do_not_open_the_routes)
{
    for (const bool fastReturn : { false, true }) {
        for (const char* const teams : { "null", "{}", "\"one\"", "7", "false", "[null]" }) {
            const auto world = play(withTeams(teams), fastReturn);
            for (const std::string& key : { unknownKey, noKey })
                expectUnused(*world, key, teams);
        }
    }
}

// The reverse: a configuration without the member opens its routes, and the teams that it names are served.
Test(configuration_forms, sound_forms_are_served)
{
    for (const bool fastReturn : { false, true }) {
        const auto open = play({}, fastReturn);
        for (const std::string& key : { std::string("kept"), unknownKey, noKey })
            expectUsed(*open, key, "absent");
        const auto one = play(withTeams("[" + keptTeam + "]"), fastReturn);
        expectUsed(*one, "kept", "one team");
        for (const std::string& key : { std::string("old"), unknownKey, noKey })
            expectUnused(*one, key, "one team");
    }
}

// A version that can't be read was confirmed by the next read without news, so that the keys which it may have revoked never expired.
Test(configuration_forms, a_version_that_can_not_be_read_confirms_no_key)
{
    for (const bool fastReturn : { false, true }) {
        for (const std::string& members : { withTeams("null"), withTeams("{}"), withTeams("\"one\""), withTeams("7"), withTeams("false"),
                 withTeams(firstTeams) + R"(,"routes":[{"name":"read"}])", withTeams(firstTeams) + R"(,"services":[7])" }) {
            const auto world = play(members, fastReturn);
            for (const std::string& key : { std::string("kept"), std::string("old"), unknownKey, noKey })
                expectUnused(*world, key, members);
        }
    }
}

namespace {

// Plays an unreadable second version, and what the operator writes after it.
std::unique_ptr<store_world> playUnreadable(bool fastReturn, const std::function<void(store_world&)>& after)
{
    store_world_settings settings { .zones = { 3 }, .fastReturn = fastReturn };
    settings.adapter = std::make_shared<platform_rows>();
    settings.firstConfiguration = documentOf(1, withTeams(firstTeams));
    auto world = std::make_unique<store_world>(settings);
    world->at(changed - 1s, [world = world.get()] { world->store().copy(); });
    world->at(changed, [world = world.get()] { world->store().put("op", "config", documentOf(2, withTeams("null"))); });
    world->at(changed + 1s, [world = world.get(), after] { after(*world); });
    world->runUntil(end);
    return world;
}

} // namespace

// Rows of other kinds say nothing of the configuration, and an older copy of the store does not undo the version.
Test(configuration_forms, only_a_version_as_new_confirms_again)
{
    for (const bool fastReturn : { false, true }) {
        const auto zoneOut = playUnreadable(fastReturn, [](store_world& world) { world.store().put("op", "evacuate/b", "{}"); });
        expectUnused(*zoneOut, "old", "a zone is taken out");
        const auto restored = playUnreadable(fastReturn, [](store_world& world) { world.store().restoreCopy(); });
        expectUnused(*restored, "old", "an older copy");
        const auto fixed = playUnreadable(fastReturn, [](store_world& world) { world.store().put("op", "config", documentOf(3, withTeams("[" + keptTeam + "]"))); });
        expectUsed(*fixed, "kept", "a readable version");
        expectUnused(*fixed, "old", "a readable version");
    }
}

// One team that can't be read took the whole version: other teams were refused with it once the version before was too old.
Test(configuration_forms, a_team_that_can_not_be_read_is_left_out_alone)
{
    for (const bool fastReturn : { false, true }) {
        for (const char* const other : { "null", "[]", "7", R"({"api_keys":["old"]})", R"({"name":7,"api_keys":["old"]})", R"({"name":"two","api_keys":"old"})",
                 R"({"name":"two","api_keys":{"a":"old"}})" }) {
            const auto world = play(withTeams("[" + std::string(other) + "," + keptTeam + "]"), fastReturn);
            expectUsed(*world, "kept", other);
            for (const std::string& key : { std::string("old"), unknownKey, noKey })
                expectUnused(*world, key, other);
        }
    }
}
