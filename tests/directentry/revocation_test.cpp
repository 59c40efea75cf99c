#include "store_world.h"

#include <criterion/criterion.h>

#include <random>

// A revoked key is never accepted later than 5,000 ms after the store's acknowledgement, whatever fails meanwhile.

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

constexpr duration bound = 5s;
constexpr int schedules = 30;

class schedule {
public:
    explicit schedule(std::uint64_t seed)
        : m_random(static_cast<std::minstd_rand::result_type>(seed * 2654435761U + 1))
    {
        store_world_settings settings { .seed = seed };
        settings.datagramLoss = 0.1 * static_cast<double>(upTo(4));
        settings.datagramJitter = std::chrono::milliseconds(50 * upTo(10));
        m_world = std::make_unique<store_world>(settings);
        const duration outage = 10s;
        const duration back = outage + std::chrono::milliseconds(upTo(9000));
        m_world->at(outage, [this] { m_world->store().setMode(mode(), machines()); });
        m_world->at(back, [this] { m_world->store().setMode(store_mode::Up); });
        // A second outage of some entries, also while the first one ends.
        m_world->at(back + std::chrono::milliseconds(upTo(3000)), [this] { m_world->store().setMode(mode(), machines()); });
        m_world->at(back + 5s, [this] { m_world->store().setMode(store_mode::Up); });
        // Just before the outage, during it, at the return, and after it. Where all entries are turned away, the operator is not.
        const duration revoked = outage - 300ms + std::chrono::milliseconds(upTo(static_cast<int>((back - outage) / 1ms) + 1000));
        m_world->at(revoked, [this] { m_world->revokeOld(2); });
        for (int fault = 0; fault < 40; ++fault)
            m_world->at(9s + std::chrono::milliseconds(upTo(15000)), [this] { breakEntry(); });
        for (int pause = 0; pause < 3; ++pause)
            m_world->at(9s + std::chrono::milliseconds(upTo(15000)), [this] { m_world->store().setAnswerDelay(std::chrono::milliseconds(upTo(900))); });
    }

    store_world& play()
    {
        m_world->runUntil(30s);
        return *m_world;
    }

private:
    int upTo(int most) { return std::uniform_int_distribution<int>(0, most)(m_random); }
    store_mode mode() { return static_cast<store_mode>(1 + upTo(3)); }
    std::string entry() { return store_world::name(static_cast<std::size_t>(upTo(2)), static_cast<std::size_t>(upTo(22))); }
    std::set<std::string> machines()
    {
        std::set<std::string> result;
        const int count = upTo(2) == 0 ? 0 : upTo(60);
        for (int machine = 0; machine < count; ++machine)
            result.insert(entry());
        return result;
    }
    void breakEntry()
    {
        const std::string broken = entry();
        const duration length = std::chrono::milliseconds(upTo(7000));
        switch (upTo(3)) {
        case 0:
            m_world->restart(broken);
            break;
        case 1:
            m_world->cut(broken, length);
            break;
        default:
            m_world->freeze(broken, length);
        }
    }

    std::minstd_rand m_random;
    std::unique_ptr<store_world> m_world;
};

} // namespace

// An entry that trusts a confirmation for longer than its age allows accepts a revoked key for too long. Ages go wrong where a
// datagram or an answer waits for a process that stands still, where clocks differ, or where an entry confirms what it was told.
Test(revocation, holds_in_any_interleaving)
{
    duration latest {};
    for (int seed = 1; seed <= schedules; ++seed) {
        const auto used = schedule(static_cast<std::uint64_t>(seed)).play().lastUseAfterRevocation();
        cr_expect_leq(used.value_or(duration::zero()), bound, "seed %d: used %ld us after the revocation", seed, static_cast<long>(used.value_or(duration::zero()).count()));
        latest = std::max(latest, used.value_or(duration::zero()));
    }
    // The schedules come close to the bound, so that they could show a breach.
    cr_expect_geq(latest, 3s);
}

// After a return from an older copy the store gives the version of a configuration that is in force to one that lacks a key. Entries
// that compare versions only would confirm the former.
Test(revocation, holds_where_the_store_gives_a_version_twice)
{
    for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
        store_world world({ .seed = seed });
        world.at(9s, [&] { world.store().copy(); });
        world.at(10s, [&] { world.configure(2, "kept old"); });
        // One entry stays cut off from the store and keeps the older contents.
        world.at(11s, [&] { world.store().setMode(store_mode::Reset); });
        world.at(12s, [&] {
            world.store().restoreCopy();
            world.revokeOld(3);
            world.store().setMode(store_mode::Reset, { store_world::name(0, 5), store_world::name(1, 0) });
        });
        world.runUntil(25s);
        const auto used = world.lastUseAfterRevocation();
        cr_expect_leq(used.value_or(duration::zero()), bound, "seed %lu: used %ld us after the revocation", seed, static_cast<long>(used.value_or(duration::zero()).count()));
    }
}

// The operator's revocation is missing in the copy from which the store returns.
Test(revocation, holds_where_the_store_returns_from_an_older_copy)
{
    for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
        store_world world({ .seed = seed });
        world.at(9s, [&] { world.store().copy(); });
        world.at(10s, [&] { world.revokeOld(2); });
        world.at(12s, [&] { world.store().setMode(store_mode::Silent); });
        world.at(15s, [&] {
            world.store().restoreCopy();
            world.store().setMode(store_mode::Up);
        });
        world.at(16s, [&] {
            for (const std::size_t number : { 0, 3, 4 })
                world.restart(store_world::name(0, number));
        });
        world.runUntil(25s);
        const auto used = world.lastUseAfterRevocation();
        cr_expect_leq(used.value_or(duration::zero()), bound, "seed %lu: used %ld us after the revocation", seed, static_cast<long>(used.value_or(duration::zero()).count()));
    }
}
