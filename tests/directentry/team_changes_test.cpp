#include "platform_rows.h"
#include "store_world.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

// Versions of the configuration follow each other and name their teams in different ways: all, some, none that is left, or no teams at
// all. No request runs whose key no version within the bound of revocation allows.

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

constexpr duration bound = 5s;
constexpr duration firstChange = 9s;
constexpr duration lastChange = 32s;
constexpr duration end = 40s;
constexpr int schedules = 40;
constexpr int versions = 9;
constexpr std::size_t zones = 2;
constexpr std::size_t entriesOfZone = 4;
const std::string unknownKey = "never-was";
const std::string noKey;

// Keys that a version allows; all if it names no teams.
using allowed_keys = std::optional<std::set<std::string>>;

std::string membersOf(const allowed_keys& keys)
{
    if (!keys)
        return {};
    std::string teams;
    for (const std::string& key : *keys)
        teams.append(teams.empty() ? "" : ",").append(R"({"name":"team-)").append(key).append(R"(","api_keys":[")").append(key).append(R"("]})");
    return R"(,"tenants":[)" + teams + "]";
}

class team_schedule {
public:
    // With faults, entries lose the store, stand still and are cut off; no version then opens the routes, since an entry that is out of
    // touch goes on with what it knows of routes that need no key.
    team_schedule(std::uint64_t seed, bool hasFaults)
        : m_random(static_cast<std::minstd_rand::result_type>(seed * 2654435761U + 1))
    {
        store_world_settings settings { .seed = seed, .zones = std::vector<std::size_t>(zones, entriesOfZone), .fastReturn = seed % 2 == 0 };
        settings.callerKeys = { "kept", "old", unknownKey, noKey };
        settings.adapter = std::make_shared<platform_rows>();
        settings.onSent = [this](const std::string& entry, const std::string& key) { check(entry, key); };
        const allowed_keys all = std::set<std::string> { "kept", "old" };
        settings.firstConfiguration = documentOf(1, membersOf(all));
        m_versions.push_back({ instant {}, all });
        m_world = std::make_unique<store_world>(settings);
        std::vector<duration> times(versions);
        std::generate(times.begin(), times.end(), [this] { return anyTime(); });
        std::sort(times.begin(), times.end());
        for (std::size_t index = 0; index < times.size(); ++index)
            m_world->at(times[index], [this, index, keys = anyKeys(!hasFaults)] { change(static_cast<unsigned>(index) + 2, keys); });
        for (int restart = 0; restart < 6; ++restart)
            m_world->at(anyTime(), [this] { m_world->restart(anyEntry()); });
        for (int fault = 0; hasFaults && fault < 12; ++fault)
            m_world->at(anyTime(), [this] { breakSomething(); });
    }

    // The first key that ran without a version that allows it; empty if there was none.
    const std::string& play()
    {
        m_world->runUntil(end);
        return m_breach;
    }

    std::size_t sent() const { return m_sent; }

private:
    struct version {
        instant acknowledgedAt;
        allowed_keys keys;
    };

    int upTo(int most) { return std::uniform_int_distribution<int>(0, most)(m_random); }
    duration anyTime() { return firstChange + std::chrono::milliseconds(upTo(static_cast<int>((lastChange - firstChange) / 1ms))); }
    std::string anyEntry() { return store_world::name(static_cast<std::size_t>(upTo(zones - 1)), static_cast<std::size_t>(upTo(entriesOfZone - 1))); }

    allowed_keys anyKeys(bool mayOpen)
    {
        const std::array<allowed_keys, 5> kinds { std::set<std::string> {}, std::set<std::string> { "kept" }, std::set<std::string> { "old" },
            std::set<std::string> { "kept", "old" }, std::nullopt };
        return kinds.at(static_cast<std::size_t>(upTo(mayOpen ? 4 : 3)));
    }

    void change(unsigned number, const allowed_keys& keys)
    {
        m_world->store().put("op", "config", documentOf(number, membersOf(keys)));
        m_versions.push_back({ m_world->now(), keys });
    }

    void breakSomething()
    {
        const duration length = std::chrono::milliseconds(upTo(6000));
        switch (upTo(3)) {
        case 0:
            return m_world->freeze(anyEntry(), length);
        case 1:
            return m_world->cut(anyEntry(), length);
        case 2:
            return m_world->store().setMode(static_cast<store_mode>(1 + upTo(3)), { anyEntry(), anyEntry(), anyEntry() });
        default:
            m_world->store().setMode(upTo(1) == 0 ? store_mode::Up : static_cast<store_mode>(1 + upTo(3)));
        }
    }

    void check(const std::string& entry, const std::string& key)
    {
        ++m_sent;
        const instant now = m_world->now();
        for (std::size_t index = 0; index < m_versions.size(); ++index) {
            const bool isSuperseded = index + 1 < m_versions.size() && m_versions[index + 1].acknowledgedAt + bound < now;
            if (!isSuperseded && (!m_versions[index].keys || m_versions[index].keys->contains(key)))
                return;
        }
        if (m_breach.empty())
            m_breach = entry + " used '" + key + "' at " + std::to_string(now.time_since_epoch() / 1ms) + " ms";
    }

    std::minstd_rand m_random;
    std::unique_ptr<store_world> m_world;
    std::vector<version> m_versions;
    std::string m_breach;
    std::size_t m_sent = 0;
};

void playAll(bool hasFaults)
{
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        team_schedule schedule(seed, hasFaults);
        const std::string& breach = schedule.play();
        cr_expect(breach.empty(), "seed %lu: %s", seed, breach.c_str());
        cr_expect_geq(schedule.sent(), 500U, "seed %lu: hardly any request was sent", seed);
    }
}

} // namespace

// Guards against a version that takes the last team away, or that names teams after one without any, and against a version that outlives
// the bound where reads of the store, restarts and answers of the zone's reader interleave.
Test(team_changes, no_key_outlives_the_versions_that_allow_it) { playAll(false); }

Test(team_changes, nor_while_the_store_and_entries_fail) { playAll(true); }
