#include "decisions/maps/rebalance_policy.h"

#include "decisions/maps/groups.h"
#include "decisions/maps/transfer_budget.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::testing;
using namespace std::chrono_literals;

namespace {

// A group with known expert popularity, and everything that the policy needs for a decision.
struct bench {
    group_shape shape = makeGroup(8, 16, 3);
    map_planner planner { shape };
    popularity_observer popularity { shape };
    transfer_budget budget { 1'000'000'000, 100'000'000'000 };
    rebalance_policy policy;
    expert_map currentMap = evenMap(shape);
    std::uint64_t window = 0;
    instant now {};

    void reportWindows(std::span<const double> loads, int windows)
    {
        for (int i = 0; i < windows; ++i, ++window) {
            rank_report report { 0, window, {}, 1, 1us };
            for (const auto load : loads)
                report.counts.push_back(std::uint32_t(load * 1e6));
            for (std::size_t rank = 0; rank < shape.ranks.size(); ++rank) {
                report.rank = rank_index(rank);
                popularity.observe(report);
            }
            now += 5min;
        }
    }

    rebalance_decision decide() { return policy.decide(now, planner, currentMap, popularity, budget); }
};

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(rebalance_policy, keeps_the_map_until_there_are_counts)
{
    bench bench;
    const auto decision = bench.decide();
    cr_assert_eq(decision.choice, rebalance_choice::Keep);
    cr_assert_eq(decision.reason, "no complete window of counts yet");
}

Test(rebalance_policy, moves_experts_when_that_pays)
{
    bench bench;
    bench.reportWindows(randomLoads(bench.shape, 1), 5);
    const auto decision = bench.decide();
    cr_assert_eq(decision.choice, rebalance_choice::MoveExperts);
    cr_assert_eq(decision.bytes, movesBetween(bench.currentMap, decision.map) * bench.shape.expertBytes);
    cr_assert(fits(decision.map, bench.shape));
    cr_assert(contains(decision.reason, "moved: gap"));
    cr_assert_eq(journalEntry(bench.now, group_id("g"), decision).kind, decision_kind::ExpertMap);
}

Test(rebalance_policy, keeps_a_map_within_the_trigger_gap)
{
    bench bench;
    bench.reportWindows(randomLoads(bench.shape, 1), 5);
    bench.currentMap = bench.decide().map;
    bench.now += 1h;
    const auto decision = bench.decide();
    cr_assert_eq(decision.choice, rebalance_choice::Keep);
    cr_assert(contains(decision.reason, "below the trigger"), "%s", decision.reason.c_str());
}

Test(rebalance_policy, waits_for_a_spike_to_last)
{
    bench bench;
    auto loads = randomLoads(bench.shape, 1);
    bench.reportWindows(loads, 20);
    bench.currentMap = bench.decide().map;
    loads[0] *= 6;
    loads[bench.shape.experts] *= 6;
    bench.reportWindows(loads, 1);
    const auto decision = bench.decide();
    cr_assert_eq(decision.choice, rebalance_choice::Keep, "%s", decision.reason.c_str());
    bench.reportWindows(loads, 6);
    cr_assert_neq(bench.decide().choice, rebalance_choice::Keep);
}

Test(rebalance_policy, moves_no_experts_that_the_store_cannot_deliver)
{
    bench bench;
    bench.budget.reserve(instant(0s), 100'000'000'000);
    bench.reportWindows(randomLoads(bench.shape, 1), 1);
    bench.now = instant(0s);
    const auto decision = bench.decide();
    cr_assert_neq(decision.choice, rebalance_choice::MoveExperts);
    cr_assert_eq(decision.bytes, 0);
}

Test(rebalance_policy, moves_no_experts_that_cost_more_than_they_save)
{
    bench bench;
    bench.shape.expertBytes = 20'000'000'000'000;
    bench.planner = map_planner(bench.shape);
    bench.budget = transfer_budget(1'000'000'000, 100'000'000'000'000'000);
    bench.reportWindows(randomLoads(bench.shape, 1), 5);
    const auto decision = bench.decide();
    cr_assert_neq(decision.choice, rebalance_choice::MoveExperts);
    cr_assert(contains(decision.reason, "2 layers not worth their moves"), "%s", decision.reason.c_str());
}

Test(rebalance_policy, groups_that_share_a_budget_cannot_overspend_it)
{
    bench bench;
    bench.budget = transfer_budget(1'000'000, 20'000'000);
    bench.reportWindows(randomLoads(bench.shape, 1), 5);
    std::uint64_t spent = 0;
    for (int group = 0; group < 5; ++group)
        spent += rebalance_policy()
                     .decide(bench.now, bench.planner, bench.currentMap, bench.popularity, bench.budget)
                     .bytes;
    cr_assert_leq(spent, 20'000'000);
    cr_assert_gt(spent, 0);
}
