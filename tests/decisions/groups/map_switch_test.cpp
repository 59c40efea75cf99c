#include "decisions/groups/map_switch.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

constexpr group_epoch epoch = 3;
constexpr switch_id name { epoch, 7, 50 };

rank_state reading()
{
    rank_state state;
    state.ranks = 2;
    state.epoch = epoch;
    state.groupOpen = true;
    state.pass = 40;
    state.orderCount = 11;
    state.preparedVersion = 7;
    return state;
}

rank_state heldReading()
{
    rank_state state = reading();
    state.heldPass = 50;
    state.orderCount = 12;
    return state;
}

// A rank that has read its engine and received the switch request.
map_switch switchAfterRequest()
{
    map_switch rank;
    cr_assert(!rank.advance(instant {}, reading()));
    rank.request({ name });
    return rank;
}

} // namespace

Test(map_switch, a_rank_holds_before_it_arms)
{
    map_switch rank = switchAfterRequest();
    const auto hold = rank.advance(instant {}, reading());
    cr_assert(hold && hold->kind == rank_order_kind::Hold);
    cr_assert_eq(hold->expectedOrderCount, 11);
    cr_assert_eq(hold->epoch, epoch);
    const auto arm = rank.advance(instant {}, heldReading());
    cr_assert(arm && arm->kind == rank_order_kind::Arm);
    cr_assert_eq(arm->pass, 50);
}

Test(map_switch, an_armed_rank_lets_go_only_on_an_outcome)
{
    map_switch rank = switchAfterRequest();
    rank_state armed = heldReading();
    armed.armedVersion = 7;
    armed.armedPass = 50;
    cr_assert(!rank.advance(instant {}, armed));
    rank.recordOutcome({ name, true });
    const auto go = rank.advance(instant {}, armed);
    cr_assert(go && go->kind == rank_order_kind::Release);
}

Test(map_switch, an_aborted_rank_disarms_before_it_lets_go)
{
    map_switch rank = switchAfterRequest();
    rank_state armed = heldReading();
    armed.armedVersion = 7;
    armed.armedPass = 50;
    rank.advance(instant {}, armed);
    rank.recordOutcome({ name, false });
    const auto disarm = rank.advance(instant {}, armed);
    cr_assert(disarm && disarm->kind == rank_order_kind::Disarm);
    const auto go = rank.advance(instant {}, heldReading());
    cr_assert(go && go->kind == rank_order_kind::Release);
}

// Found by schedules 619 and 1282: a delayed copy of an arm order is carried out seconds later, even after the arm was undone,
// as engines do not count map orders. So another map must replace the prepared one before the rank is released.
Test(map_switch, after_an_abort_late_copies_of_the_arm_order_are_made_unfit)
{
    map_switch rank;
    rank_state fresh = reading();
    fresh.preparedVersion.reset();
    rank.advance(instant {}, fresh);
    const auto map = group_map::roundRobin(1, 4, 2);
    const group_map_version version = nextMapVersion(7, map);
    rank.propose({ epoch, version, map });
    rank.setPlaceholderMap(std::make_shared<group_map>(map));
    const switch_id asked { epoch, version, 50 };
    rank.request({ asked });
    rank_state held = heldReading();
    held.preparedVersion = version;
    cr_assert(rank.advance(instant {}, held)->kind == rank_order_kind::Arm);
    rank.recordOutcome({ asked, false });
    const auto replace = rank.advance(instant {}, held);
    cr_assert(replace && replace->kind == rank_order_kind::Prepare);
    cr_assert_gt(replace->version, version);
    rank_state armedLate = held;
    armedLate.armedVersion = version;
    armedLate.armedPass = 50;
    cr_assert(rank.advance(instant {}, armedLate)->kind == rank_order_kind::Disarm);
    held.preparedVersion = replace->version;
    cr_assert(rank.advance(instant {}, held)->kind == rank_order_kind::Release);
}

Test(map_switch, a_rank_that_is_too_late_declines)
{
    map_switch rank = switchAfterRequest();
    rank_state late = reading();
    late.pass = 50;
    cr_assert(!rank.advance(instant {}, late));
    cr_assert(rank.hasDeclined(50));
}

// The hold was ordered before the agent restarted, which may have sent an arm order as well.
Test(map_switch, a_restarted_agent_takes_the_hold_over)
{
    map_switch rank;
    cr_assert(!rank.advance(instant {}, heldReading()));
    cr_assert(rank.pendingSwitch() == (switch_id { epoch, 0, 50 }));
    rank.handleQuery(name, heldReading());
    cr_assert(rank.advance(instant {}, heldReading())->kind == rank_order_kind::Arm);
}

// Found by schedule 396: another agent had replaced the prepared map, so this rank can't arm. The restarted agent must decline
// rather than take the replacement for the map of the switch.
Test(map_switch, a_restarted_agent_does_not_guess_the_map)
{
    map_switch rank;
    rank_state replaced = heldReading();
    replaced.preparedVersion = 9;
    cr_assert(!rank.advance(instant {}, replaced));
    rank.handleQuery(name, replaced);
    rank.advance(instant {}, replaced);
    cr_assert(rank.hasDeclined(50));
}

Test(map_switch, a_late_hold_of_a_concluded_switch_is_let_go)
{
    map_switch rank = switchAfterRequest();
    rank.advance(instant {}, reading());
    rank.recordOutcome({ name, false });
    rank.advance(instant {}, reading());
    const auto go = rank.advance(instant {}, heldReading());
    cr_assert(go && go->kind == rank_order_kind::Release);
}

// Found by schedule 4143: the agent restarted between the outcome and the pass, and no longer knew of the outcome.
Test(map_switch, an_armed_rank_never_declines)
{
    map_switch restarted;
    rank_state armed = reading();
    armed.armedVersion = 7;
    armed.armedPass = 50;
    restarted.advance(instant {}, armed);
    restarted.handleQuery(name, armed);
    cr_assert(!restarted.hasDeclined(50));
    restarted.handleQuery(name, reading());
    cr_assert(restarted.hasDeclined(50));
}

// Found by schedule 1005264: a second coordinator requested a switch to the same map at a later pass.
Test(map_switch, a_rank_that_is_committed_to_a_pass_declines_another)
{
    map_switch rank = switchAfterRequest();
    rank_state armed = heldReading();
    armed.armedVersion = 7;
    armed.armedPass = 50;
    rank.advance(instant {}, armed);
    rank.recordOutcome({ name, true });
    rank.advance(instant {}, armed);
    rank.request({ { epoch, 7, 52 } });
    rank_state released = armed;
    released.heldPass.reset();
    cr_assert(!rank.advance(instant {}, released));
    cr_assert(rank.hasDeclined(52));
    cr_assert(!rank.hasDeclined(50));
}

// Found by schedules 4228 and 4271: a restarted agent applied changes to a wrong base, as it did not know the right one.
Test(map_switch, changes_on_another_base_than_was_meant_are_not_prepared)
{
    auto next = group_map::roundRobin(1, 4, 2);
    next.at(0, 0).push_back(1);
    const group_map_version version = nextMapVersion(7, next);
    const map_changes changes { epoch, version, 0, { { 0, 0, next.at(0, 0) } } };
    rank_state state = reading();
    state.preparedVersion.reset();
    map_switch misled;
    misled.advance(instant {}, state);
    misled.propose(changes, 3, 1, 2);
    cr_assert(!misled.advance(instant {}, state));
    map_switch informed;
    informed.advance(instant {}, state);
    informed.propose(changes, 4, 1, 2);
    cr_assert(informed.advance(instant {}, state)->kind == rank_order_kind::Prepare);
}

Test(map_switch, a_lost_prepare_is_ordered_again_and_a_begun_one_is_not)
{
    map_switch rank;
    rank_state state = reading();
    state.preparedVersion.reset();
    rank.advance(instant {}, state);
    const auto map = group_map::roundRobin(1, 4, 2);
    rank.propose({ epoch, nextMapVersion(7, map), map });
    cr_assert(rank.advance(instant {}, state)->kind == rank_order_kind::Prepare);
    cr_assert(!rank.advance(instant(std::chrono::milliseconds(100)), state));
    cr_assert(rank.advance(instant(std::chrono::milliseconds(160)), state));
    state.orderCount = 12;
    cr_assert(!rank.advance(instant(std::chrono::milliseconds(900)), state));
}

namespace {

// A rank that was permitted to arm in a switch with a single hold at rank 1, and has ordered it.
map_switch rankThatOrderedToArm()
{
    map_switch rank;
    rank.setSingleHold(true);
    rank_state first = reading();
    first.pass = 1;
    first.preparedVersion.reset();
    rank.observe(first);
    rank_state later = reading();
    later.pass = 140;
    const arm_readiness_request question { { epoch, 7, 150 }, 1, {} };
    rank.observe(later);
    cr_assert(rank.isReady(question, later));
    rank.permit({ question.name, 1 });
    cr_assert(rank.advance(instant {}, later)->kind == rank_order_kind::Arm);
    return rank;
}

} // namespace

// Failure: a request for another pass replaced an aborted switch whose order to arm could still be carried out, so that the rank
// switched alone, or stayed armed and its group held for good.
Test(map_switch, an_aborted_switch_is_undone_before_another_is_taken)
{
    map_switch rank = rankThatOrderedToArm();
    rank_state state = reading();
    state.pass = 141;
    rank.recordOutcome({ { epoch, 7, 150 }, false });
    rank.request({ { epoch, 6, 152 }, 1 });
    rank.advance(instant {}, state);
    cr_assert_not(rank.hasDeclined(150));
    cr_assert(rank.unsettledArmPass() == 150);
    state.armedVersion = 7;
    state.armedPass = 150;
    const auto disarm = rank.advance(instant {}, state);
    cr_assert(disarm.has_value());
    cr_assert_eq(disarm->kind, rank_order_kind::Disarm);
}

// Failure: the answer to another holder's question took the readiness back, and the group waited for the rank to arm.
Test(map_switch, another_holders_question_leaves_the_rank_ready)
{
    map_switch rank;
    rank.setSingleHold(true);
    rank_state state = reading();
    state.pass = 1;
    state.preparedVersion.reset();
    rank.observe(state);
    state = reading();
    state.pass = 140;
    const switch_id asked { epoch, 7, 150 };
    cr_assert(rank.isReady({ asked, 1, {} }, state));
    cr_assert_not(rank.isReady({ { epoch, 7, 151 }, 0, {} }, state));
    rank.permit({ asked, 1 });
    cr_assert(rank.advance(instant {}, state)->kind == rank_order_kind::Arm);
}
