#include "decisions/configuration/configuration_writer.h"

#include "decisions/configuration/configuration_register.h"
#include "decisions/detection/configuration_refresh.h"
#include "decisions/placement/demand_planner.h"
#include "decisions/placement/endpoint_directory.h"
#include "decisions/suspects/suspect_registry.h"
#include "decisions/tracing/trace_id_generator.h"
#include "wire/configuration_codec.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

// The configuration_writer of one entry. The test supplies the replies of the table service.
struct configuration_writer_fixture {
    entry_identity self;
    configuration_register configuration;
    endpoint_directory endpoints;
    demand_planner demands;
    suspect_registry suspects;
    configuration_refresh refresh;
    operation_number lastOperation = 0;
    trace_id_generator traceIds { 1 };
    entry_effects effects;
    configuration_writer writer;

    entry_context context()
    {
        return { instant(), self, configuration, endpoints, demands, suspects, refresh, lastOperation, traceIds,
            effects };
    }
    void request(const std::string& changeId)
    {
        writer.submitChange(context(), { 1, changeId, take_zone_out { availability_zone_id("a") } });
    }
    void reply(platform_status status, std::vector<table_row> rows = {})
    {
        writer.handleReply(context(), { lastOperation, { status, std::move(rows) } });
    }
    template <typename Effect>
    const Effect* last() const
    {
        const Effect* found = nullptr;
        for (const auto& effect : effects) {
            if (const auto* match = std::get_if<Effect>(&effect))
                found = match;
        }
        return found;
    }
};

table_row rowOf(configuration_version version, const std::string& changeId)
{
    const accepted_change change { version, changeId, take_zone_in { availability_zone_id("a") } };
    return { changeRowKey(version), encodeAcceptedChange(change), 9 };
}

} // namespace

Test(configuration_writer, says_unknown_if_the_write_may_stand_and_the_read_back_fails)
{
    configuration_writer_fixture fixture;
    fixture.request("c-1");
    fixture.reply(platform_status::Unknown);
    fixture.reply(platform_status::Unavailable);
    cr_assert(fixture.last<reply_problem>()->answer.outcome == execution::Unknown);
}

Test(configuration_writer, says_not_run_if_the_store_refused_the_write)
{
    configuration_writer_fixture fixture;
    fixture.request("c-1");
    fixture.reply(platform_status::Unavailable);
    cr_assert(fixture.last<reply_problem>()->answer.outcome == execution::NotRun);
}

Test(configuration_writer, commits_a_change_id_once_although_it_is_sent_again)
{
    configuration_writer_fixture fixture;
    fixture.request("c-1");
    fixture.reply(platform_status::Done, { rowOf(1, "c-1") });
    const auto operations = fixture.lastOperation;
    fixture.request("c-1");
    cr_assert_eq(fixture.lastOperation, operations);
    cr_assert_eq(fixture.last<reply_document>()->json, "{\"version\":1}");
}

Test(configuration_writer, shows_the_loser_of_a_race_both_values)
{
    configuration_writer_fixture fixture;
    fixture.request("c-mine");
    fixture.reply(platform_status::Conflict, { rowOf(1, "c-other") });
    const auto& answer = fixture.last<reply_problem>()->answer;
    cr_assert_eq(answer.status, 409);
    cr_assert_neq(answer.detail.find("c-other"), std::string::npos);
    cr_assert_neq(answer.detail.find("c-mine"), std::string::npos);
}

Test(configuration_writer, writes_nothing_of_a_bad_change)
{
    configuration_writer_fixture fixture;
    fixture.writer.submitChange(fixture.context(), { 1, "c-1", add_exception { { team_id("kitchen"), 5, "" } } });
    cr_assert_eq(fixture.last<reply_problem>()->answer.status, 422);
    cr_assert(!fixture.last<call_platform>());
}
