#include "appleramp/command_run.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace appleramp;

namespace {

const std::string trace = "tests/traces/zone_out.trace";

} // namespace

Test(replay_command, prints_the_same_bytes_for_the_same_trace)
{
    const command_run first = runCommand({ "replay", trace });
    const command_run second = runCommand({ "replay", trace });
    cr_assert_eq(first.exitCode, ExitDone, "%s", first.err.c_str());
    cr_assert(!first.out.empty());
    cr_assert(first.out == second.out);
    std::istringstream lines(first.out);
    for (std::string line; std::getline(lines, line);)
        cr_assert(nlohmann::json::parse(line).contains("effect"));
}

Test(replay_command, stated_outcomes_that_hold_are_done)
{
    const command_run run = runCommand({ "replay", trace, "--expect=tests/traces/zone_out.outcomes", "--json" });
    cr_assert_eq(run.exitCode, ExitDone, "%s", run.err.c_str());
    cr_assert(nlohmann::json::parse(run.out).at("failures").empty());
}

Test(replay_command, stated_outcomes_that_do_not_come_out_are_a_failure)
{
    const command_run run = runCommand({ "replay", trace, "--expect=tests/traces/key_required.outcomes", "--json" });
    cr_assert_eq(run.exitCode, ExitFailed);
    cr_assert(!nlohmann::json::parse(run.out).at("failures").empty());
    cr_assert(run.err.find("tests/traces/key_required.outcomes:2") != std::string::npos, "%s", run.err.c_str());
}

Test(replay_command, files_that_can_not_be_read_are_named)
{
    const command_run missing = runCommand({ "replay", "/nonexistent/trace" });
    cr_assert_eq(missing.exitCode, ExitFailed);
    cr_assert(missing.err.find("/nonexistent/trace") != std::string::npos);
    const command_run other = runCommand({ "replay", "CMakeLists.txt" });
    cr_assert_eq(other.exitCode, ExitFailed);
    cr_assert(other.err.find("CMakeLists.txt:1") != std::string::npos, "%s", other.err.c_str());
}
