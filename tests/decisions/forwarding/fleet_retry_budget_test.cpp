#include "decisions/forwarding/retry_world.h"

#include <criterion/criterion.h>

#include <functional>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 5;
constexpr duration end = 45s;

// Plays it with each seed, and `disturb` with it, and checks the users' bound.
void expectWithinBudget(retry_world_settings settings, const std::function<void(retry_world&)>& disturb)
{
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        retry_world world(settings);
        disturb(world);
        world.runUntil(end);
        cr_assert_gt(world.retries(), 0);
        cr_assert_leq(world.worstWindow(), 1.0, "seed %lu: %.2f times what the rule allows", settings.seed, world.worstWindow());
    }
}

} // namespace

Test(fleet_retry_budget, is_kept_by_all_entries_together)
{
    expectWithinBudget({}, [](retry_world&) {});
}

// Guards against more retries than the budget allows (BUDGET) when entries restart: each one that has just started used to have its whole
// share again, whatever it had sent before.
Test(fleet_retry_budget, is_kept_while_all_entries_restart_again_and_again)
{
    for (const duration interval : { 1s, 3s, 6s }) {
        expectWithinBudget({}, [interval](retry_world& world) {
            for (duration when = 20s; when < end; when += interval)
                world.at(when, [&world] { world.restartAllEntries(); });
        });
    }
}

// Guards against the same with entries that restart one after the other.
Test(fleet_retry_budget, is_kept_while_entries_restart_in_turn)
{
    expectWithinBudget({}, [](retry_world& world) {
        constexpr duration interval = 100ms;
        std::size_t entry = 0;
        for (duration when = 20s; when < end; when += interval)
            world.at(when, [&world, number = entry++ % retry_world_settings {}.entries] { world.restartEntry(number); });
    });
}

// Guards against retries that are granted in one window and sent in the next one, together with those of that window.
Test(fleet_retry_budget, is_kept_while_retries_wait_for_their_service)
{
    for (const duration interval : { 3s, 5s, 10s }) {
        expectWithinBudget({ .lossFraction = 0.3 }, [interval](retry_world& world) {
            for (duration when = 15s; when < end; when += interval) {
                world.at(when, [&world] { world.setRejecting(true); });
                world.at(when + 1200ms, [&world] { world.setRejecting(false); });
            }
        });
    }
}

// Guards against budgets that are earned by a burst and used when it is over.
Test(fleet_retry_budget, is_kept_while_the_load_changes)
{
    for (const duration length : { 2s, 5s, 8s }) {
        expectWithinBudget({}, [length](retry_world& world) {
            for (duration when = 15s; when < end; when += 2 * length) {
                world.at(when, [&world] { world.setRequestRate(750); });
                world.at(when + length, [&world] { world.setRequestRate(100); });
            }
        });
    }
}

// A restart must not cost callers all retries for long.
Test(fleet_retry_budget, an_entry_has_its_whole_share_a_window_after_its_start)
{
    retry_world calm({});
    calm.runUntil(end);
    retry_world restarted({});
    restarted.at(15s, [&restarted] { restarted.restartAllEntries(); });
    restarted.runUntil(end);
    cr_assert_geq(static_cast<double>(restarted.retries()), 0.7 * static_cast<double>(calm.retries()));
}
