#include "decisions/maps/lease_keeper.h"

#include "decisions/maps/maps_error.h"

#include <criterion/criterion.h>

#include <optional>
#include <variant>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

// One row of the table. Tests drop or replace its replies.
struct lease_row {
    std::optional<table_row> row;

    platform_result carryOut(const platform_call& call)
    {
        const auto* put = std::get_if<table_put>(&call);
        if (!put)
            return row ? platform_result { platform_status::Done, { *row } }
                       : platform_result { platform_status::NotFound, {} };
        if ((row ? row->version : 0) != put->expected)
            return { platform_status::Conflict, { *row } };
        row = table_row { put->key, put->value, put->expected + 1 };
        return { platform_status::Done, { *row } };
    }
};

struct candidate {
    lease_keeper keeper;
    operation_number next = 1;

    explicit candidate(const char* name)
        : keeper(group_id("g"), name, {})
    {
    }

    std::optional<call_platform> tick(instant now)
    {
        maps_effects effects;
        keeper.onTime(now, next, effects);
        if (effects.empty())
            return std::nullopt;
        return std::get<call_platform>(effects.front());
    }

    void run(lease_row& table, instant from, instant to)
    {
        for (auto now = from; now < to; now += 100ms) {
            if (const auto call = tick(now))
                keeper.onReply(now, { call->operation, table.carryOut(call->call) });
        }
    }
};

} // namespace

Test(lease_keeper, takes_a_lease_that_nobody_holds_and_keeps_it)
{
    lease_row table;
    candidate first("first");
    first.run(table, instant(0s), instant(20s));
    cr_assert_eq(first.keeper.heldFencing(instant(20s)), 1);
}

Test(lease_keeper, a_second_candidate_waits_and_gets_a_higher_number)
{
    lease_row table;
    candidate first("first");
    candidate second("second");
    first.run(table, instant(0s), instant(5s));
    second.run(table, instant(5s), instant(7s));
    cr_assert_not(second.keeper.heldFencing(instant(7s)).has_value());
    second.run(table, instant(7s), instant(10s));
    cr_assert_eq(second.keeper.heldFencing(instant(10s)), 2);
    cr_assert_not(first.keeper.heldFencing(instant(10s)).has_value());
}

Test(lease_keeper, the_lease_ends_by_its_own_clock_while_the_table_is_down)
{
    lease_row table;
    candidate first("first");
    first.run(table, instant(0s), instant(2s));
    for (auto now = instant(2s); now < instant(8s); now += 100ms) {
        if (const auto call = first.tick(now))
            first.keeper.onReply(now, { call->operation, { platform_status::Unavailable, {} } });
    }
    cr_assert_not(first.keeper.heldFencing(instant(8s)).has_value());
}

Test(lease_keeper, a_write_whose_reply_was_lost_is_read_back)
{
    lease_row table;
    candidate first("first");
    auto call = first.tick(instant(0s));
    first.keeper.onReply(instant(0s), { call->operation, table.carryOut(call->call) });
    call = first.tick(instant(1s));
    cr_assert(std::holds_alternative<table_put>(call->call));
    table.carryOut(call->call);
    first.keeper.onReply(instant(1s), { call->operation, { platform_status::Unknown, {} } });
    cr_assert_not(first.keeper.heldFencing(instant(1s)).has_value());
    first.run(table, instant(1100ms), instant(1300ms));
    cr_assert_eq(first.keeper.heldFencing(instant(1300ms)), 1);
}

Test(lease_record, is_read_as_it_was_written)
{
    const auto record = decodeLease(encodeLease({ 7, "rank 3/2", 12 }));
    cr_assert_eq(record.fencing, 7);
    cr_assert_eq(record.renewal, 12);
    cr_assert_eq(record.holder, "rank 3/2");
    cr_assert_throw(decodeLease("seven"), maps_error);
}
