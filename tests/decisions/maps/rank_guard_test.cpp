#include "decisions/maps/rank_guard.h"

#include "decisions/maps/lease_record.h"

#include <criterion/criterion.h>

#include <optional>
#include <variant>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

constexpr rank_index holder = 2;

// A guard with an engine that answers immediately unless engineSilent is set, and a table whose answer each test sends.
class guarded_rank {
public:
    guarded_rank()
    {
        state.boot = 1;
        state.nextStep = 7;
        state.held = false;
        send(time_passed {});
    }

    void send(const maps_event_body& body)
    {
        for (const auto& effect : guard.handle({ now, body }))
            std::visit([this](const auto& one) { carryOut(one); }, effect);
    }

    void order(const map_message& message) { send(map_message_received { holder, message }); }

    void learn(fencing_number fencing)
    {
        const table_row row { "lease", encodeLease({ fencing, "other", 1 }), 1 };
        send(platform_replied { operation, { platform_status::Done, { row } } });
    }

    void wait(duration time)
    {
        now += time;
        send(time_passed {});
    }

    template <typename Answer>
    Answer last() const
    {
        cr_assert(answer && std::holds_alternative<Answer>(*answer), "the last answer is not a %s", Answer::name);
        return std::get<Answer>(*answer);
    }

    guard_session session() const { return { 1, state.boot }; }

    rank_guard guard { group_id("g"), 0, 1 };
    engine_state state;
    std::optional<map_message> answer;
    operation_number operation = 0;
    int changes = 0;
    bool engineSilent = false;
    instant now {};

private:
    void carryOut(const send_map_message& effect) { answer = effect.message; }

    void carryOut(const call_platform& effect) { operation = effect.operation; }

    void carryOut(const record_decision&) { }

    void carryOut(const order_engine& effect)
    {
        if (!std::holds_alternative<read_engine>(effect.order))
            ++changes;
        if (engineSilent)
            return;
        if (const auto* install = std::get_if<install_engine>(&effect.order))
            state.installed = install->version;
        if (std::holds_alternative<hold_engine>(effect.order))
            state.held = true;
        if (std::holds_alternative<resume_engine>(effect.order))
            state.held = false;
        send(engine_answered { effect.number, true, state });
    }
};

constexpr map_round first { 3, 1 };

guarded_rank collected()
{
    guarded_rank rank;
    rank.learn(3);
    rank.order(collect_rank { first });
    return rank;
}

} // namespace

Test(rank_guard, takes_no_order_before_it_has_learnt_the_number)
{
    guarded_rank rank;
    rank.order(collect_rank { first });
    cr_assert_eq(rank.last<rank_refused>().reason, order_refusal::FencingUnknown);
    rank.order(hold_rank { first, rank.session(), 9 });
    cr_assert_eq(rank.last<rank_refused>().reason, order_refusal::FencingUnknown);
    cr_assert_eq(rank.changes, 0);
    rank.learn(3);
    rank.order(collect_rank { first });
    cr_assert_eq(rank.last<rank_snapshot>().nextStep, 7);
}

Test(rank_guard, a_lost_reply_leaves_it_unlearnt_until_the_table_answers)
{
    guarded_rank rank;
    rank.send(platform_replied { rank.operation, { platform_status::Unavailable, {} } });
    cr_assert_not(rank.guard.fencingKnown());
    rank.wait(1500ms);
    rank.learn(3);
    cr_assert(rank.guard.fencingKnown());
}

Test(rank_guard, refuses_numbers_below_the_one_in_the_table)
{
    guarded_rank rank;
    rank.learn(4);
    rank.order(collect_rank { first });
    cr_assert_eq(rank.last<rank_refused>().reason, order_refusal::Stale);
    cr_assert_eq(rank.last<rank_refused>().promised.fencing, 4);
}

Test(rank_guard, goes_through_a_switch)
{
    auto rank = collected();
    rank.order(prepare_rank { first, rank.session(), first, new_expert_map {} });
    rank.last<rank_prepared>();
    rank.order(hold_rank { first, rank.session(), 7 });
    cr_assert_eq(rank.last<rank_held>().nextStep, 7);
    rank.order(install_rank { first, rank.session(), first });
    cr_assert(rank.last<rank_installed>().installed == first);
    rank.order(resume_rank { first, rank.session(), first });
    rank.last<rank_resumed>();
    cr_assert_not(rank.state.held);
}

Test(rank_guard, refuses_a_round_once_it_has_answered_to_a_later_one)
{
    auto rank = collected();
    rank.order(collect_rank { { 4, 1 } });
    rank.order(hold_rank { first, rank.session(), 7 });
    cr_assert_eq(rank.last<rank_refused>().reason, order_refusal::Stale);
    cr_assert_eq(rank.changes, 0);
}

Test(rank_guard, an_ending_closes_its_round_but_not_the_next)
{
    auto rank = collected();
    rank.order(collect_rank { { 3, 1, 1, 5 } });
    rank.order(hold_rank { first, rank.session(), 7 });
    cr_assert_eq(rank.last<rank_refused>().reason, order_refusal::Stale);
    rank.order(collect_rank { { 3, 2 } });
    cr_assert((rank.last<rank_snapshot>().round == map_round { 3, 2 }));
}

Test(rank_guard, refuses_orders_meant_for_an_earlier_life)
{
    auto rank = collected();
    rank.order(hold_rank { first, { 0, 1 }, 7 });
    cr_assert_eq(rank.last<rank_refused>().reason, order_refusal::SessionChanged);
    const auto before = rank.session();
    rank.state.boot = 2;
    rank.state.held = true;
    rank.send(engine_changed { rank.state });
    rank.order(resume_rank { first, before, {} });
    cr_assert_eq(rank.last<rank_refused>().reason, order_refusal::SessionChanged);
    cr_assert(rank.state.held);
}

Test(rank_guard, refuses_a_round_to_which_it_gave_no_snapshot)
{
    auto rank = collected();
    rank.order(hold_rank { { 3, 2 }, rank.session(), 7 });
    cr_assert_eq(rank.last<rank_refused>().reason, order_refusal::OutOfOrder);
}

Test(rank_guard, does_not_resume_with_another_map_than_the_one_named)
{
    auto rank = collected();
    rank.order(hold_rank { first, rank.session(), 7 });
    rank.order(resume_rank { first, rank.session(), first });
    cr_assert_eq(rank.last<rank_refused>().reason, order_refusal::OutOfOrder);
    cr_assert(rank.state.held);
}

Test(rank_guard, does_not_install_into_a_running_engine)
{
    auto rank = collected();
    rank.order(install_rank { first, rank.session(), first });
    cr_assert_eq(rank.last<rank_refused>().reason, order_refusal::OutOfOrder);
    cr_assert((rank.state.installed == map_version {}));
}

Test(rank_guard, a_late_copy_of_an_earlier_order_changes_nothing)
{
    auto rank = collected();
    rank.order(hold_rank { first, rank.session(), 7 });
    rank.order(install_rank { first, rank.session(), first });
    rank.order(resume_rank { first, rank.session(), first });
    const auto changes = rank.changes;
    rank.order(hold_rank { first, rank.session(), 7 });
    cr_assert_eq(rank.changes, changes);
    cr_assert_not(rank.state.held);
}

Test(rank_guard, a_snapshot_waits_for_the_order_before_it)
{
    auto rank = collected();
    rank.engineSilent = true;
    rank.order(hold_rank { first, rank.session(), 7 });
    rank.answer.reset();
    rank.order(collect_rank { { 4, 1 } });
    cr_assert_not(rank.answer.has_value());
}

Test(rank_guard, asks_for_an_end_when_it_is_held_without_word)
{
    auto rank = collected();
    rank.order(hold_rank { first, rank.session(), 7 });
    rank.wait(900ms);
    cr_assert(std::holds_alternative<rank_held>(*rank.answer));
    rank.wait(200ms);
    cr_assert(rank.last<ending_wanted>().promised == first);
}
