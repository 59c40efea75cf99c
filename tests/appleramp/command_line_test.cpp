#include "appleramp/command_descriptor.h"
#include "appleramp/command_run.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace appleramp;

namespace {

// Checks that the command line is rejected with the usage exit code and one line of error that contains the advice.
void assertUsage(const std::vector<std::string>& arguments, const std::string& advice)
{
    const command_run run = runCommand(arguments);
    cr_assert_eq(run.exitCode, ExitUsage, "%s", run.err.c_str());
    cr_assert(run.err.starts_with("appleramp: "), "%s", run.err.c_str());
    cr_assert(run.err.find(advice) != std::string::npos, "%s instead of %s", run.err.c_str(), advice.c_str());
    cr_assert_eq(std::count(run.err.begin(), run.err.end(), '\n'), 1, "the error must be one line");
    cr_assert(run.out.empty());
}

std::vector<std::string> withHelp(const command_descriptor& command)
{
    std::istringstream words { std::string(command.words) };
    std::vector<std::string> arguments;
    for (std::string word; words >> word;)
        arguments.push_back(word);
    arguments.emplace_back("--help");
    return arguments;
}

} // namespace

Test(command_line, an_unknown_word_is_named_with_the_known_ones)
{
    assertUsage({}, "write one of config exception zone instance status explain replay");
    assertUsage({ "zones" }, "unknown command 'zones'; write one of config");
    assertUsage({ "zone" }, "write one of out in");
    assertUsage({ "zone", "away" }, "unknown command 'zone away'");
    assertUsage({ "zone", "out" }, "ZONE is missing; write appleramp zone out ZONE");
    assertUsage({ "zone", "out", "a", "b" }, "'b' is one argument too many");
}

Test(command_line, an_unknown_or_bad_flag_is_named)
{
    assertUsage({ "status", "--entrance=x" }, "unknown flag '--entrance'");
    assertUsage({ "status", "-x" }, "unknown flag '-x'");
    assertUsage({ "status", "--flagfile=x" }, "unknown flag '--flagfile'");
    assertUsage({ "status", "--reason=x" }, "--reason is not a flag of 'status'");
    assertUsage({ "status", "--entry" }, "--entry has no value");
    assertUsage({ "status", "--timeout-ms=soon" }, "'soon' is not a valid value for --timeout-ms; write whole number");
    assertUsage({ "status", "--json=maybe" }, "write true or false");
    assertUsage({ "status", "--entry=nowhere" }, "'nowhere' is not an address");
    assertUsage({ "status", "--entry=" }, "no entry is named");
}

Test(command_line, help_goes_to_the_output_and_is_no_error)
{
    const command_run all = runCommand({ "--help" });
    cr_assert_eq(all.exitCode, ExitDone);
    for (const command_descriptor& command : commandDescriptors()) {
        cr_assert(all.out.find("appleramp " + std::string(command.words)) != std::string::npos);
        const command_run one = runCommand(withHelp(command));
        cr_assert_eq(one.exitCode, ExitDone);
        cr_assert(one.err.empty());
        cr_assert(one.out.find(command.doc) != std::string::npos);
        for (std::string flag : std::vector<std::string>(command.flags.begin(), command.flags.end())) {
            std::replace(flag.begin(), flag.end(), '_', '-');
            cr_assert(one.out.find("--" + flag) != std::string::npos, "%s", flag.c_str());
        }
    }
}

Test(command_line, an_entry_that_can_not_be_reached_is_a_failure)
{
    const command_run run = runCommand({ "status", "--entry=127.0.0.1:1" });
    cr_assert_eq(run.exitCode, ExitFailed);
    cr_assert(run.err.find("no entry answers at 127.0.0.1:1") != std::string::npos, "%s", run.err.c_str());
}
