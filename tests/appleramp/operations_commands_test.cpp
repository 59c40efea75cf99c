#include "appleramp/command_run.h"
#include "fakes/fake_operations_server.h"
#include "fakes/raw_answer_server.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace appleramp;

namespace {

fake_answer accept(const fake_request&) { return { 200, R"({"version":8})" }; }

command_run runAt(const fake_operations_server& server, std::vector<std::string> arguments)
{
    arguments.push_back("--entry=" + server.address());
    return runCommand(arguments);
}

// Runs the command against a fake entry and returns the change that the entry received.
nlohmann::json sentChange(const std::vector<std::string>& arguments)
{
    const fake_operations_server server(accept);
    const command_run run = runAt(server, arguments);
    cr_assert_eq(run.exitCode, ExitDone, "%s", run.err.c_str());
    cr_assert_eq(server.requests().size(), 1u);
    cr_assert_eq(server.requests()[0].method, "POST");
    cr_assert_eq(server.requests()[0].uri, "/v1/operations/changes");
    const auto body = nlohmann::json::parse(server.requests()[0].body);
    cr_assert(!body.at("change_id").get<std::string>().empty());
    return body.at("change");
}

void assertChange(const std::vector<std::string>& arguments, const std::string& json)
{
    const auto change = sentChange(arguments);
    cr_assert(change == nlohmann::json::parse(json), "%s", change.dump().c_str());
}

} // namespace

Test(operations_commands, each_change_is_sent_in_its_form)
{
    assertChange({ "zone", "out", "a" }, R"({"type":"take_zone_out","value":{"zone":"a"}})");
    assertChange({ "zone", "in", "a" }, R"({"type":"take_zone_in","value":{"zone":"a"}})");
    assertChange({ "instance", "out", "i" }, R"({"type":"take_instance_out","value":{"instance":"i"}})");
    assertChange({ "instance", "in", "i" }, R"({"type":"take_instance_in","value":{"instance":"i"}})");
    assertChange({ "exception", "remove", "t" }, R"({"type":"remove_exception","value":{"team":"t"}})");
    assertChange({ "exception", "add", "t", "--team-limit", "5", "--reason", "month end" },
        R"({"type":"add_exception","value":{"exception":{"team":"t","teamLimit":5,"reason":"month end"}}})");
}

Test(operations_commands, an_exception_needs_a_reason_and_a_limit)
{
    const fake_operations_server server(accept);
    cr_assert_eq(runAt(server, { "exception", "add", "t", "--team-limit=5" }).exitCode, ExitUsage);
    cr_assert_eq(runAt(server, { "exception", "add", "t", "--team-limit=5", "--reason= " }).exitCode, ExitUsage);
    cr_assert_eq(runAt(server, { "exception", "add", "t", "--reason=why" }).exitCode, ExitUsage);
    cr_assert(server.requests().empty());
}

Test(operations_commands, the_change_id_can_be_given_and_is_printed)
{
    const fake_operations_server server(accept);
    const command_run run = runAt(server, { "zone", "out", "a", "--change-id=c-7", "--json" });
    const auto body = nlohmann::json::parse(server.requests().at(0).body);
    cr_assert_eq(body.at("change_id"), "c-7");
    const auto printed = nlohmann::json::parse(run.out);
    cr_assert_eq(printed.at("version"), 8);
    cr_assert_eq(printed.at("change_id"), "c-7");
}

Test(operations_commands, a_refusal_is_a_failure_with_its_reason)
{
    const fake_operations_server server([](const fake_request&) {
        return fake_answer { 503, R"({"execution":"not_run","reason":"store_down","detail":"the table is away"})" };
    });
    const command_run run = runAt(server, { "zone", "out", "a" });
    cr_assert_eq(run.exitCode, ExitFailed);
    for (const char* part : { "not_run", "store_down", "the table is away", "--change-id=" })
        cr_assert(run.err.find(part) != std::string::npos, "%s", run.err.c_str());
}

Test(operations_commands, a_lost_answer_is_unknown_and_not_sent_again)
{
    const fake_operations_server lost([](const fake_request&) { return fake_answer { 0, "", true }; });
    const fake_operations_server other(accept);
    const command_run run
        = runCommand({ "zone", "out", "a", "--change-id=c-7", "--entry=" + lost.address() + "," + other.address() });
    cr_assert_eq(run.exitCode, ExitFailed);
    cr_assert(run.err.find("the outcome is unknown") != std::string::npos, "%s", run.err.c_str());
    cr_assert(run.err.find("--change-id=c-7") != std::string::npos, "%s", run.err.c_str());
    cr_assert_eq(lost.requests().size(), 1u);
    cr_assert(other.requests().empty());
}

// An entry that stops in the middle of its answer may have carried out the change.
Test(operations_commands, an_answer_that_is_cut_is_lost)
{
    raw_answer_server entry;
    for (const std::string head : { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n" }) {
        const std::string answer = head + "Content-Length: 014\r\n\r\n{\"version\": 8}";
        for (std::size_t cut = 0; cut < answer.size(); ++cut) {
            entry.answerWith(answer.substr(0, cut), raw_answer_server::closing::Orderly);
            const command_run run = runCommand({ "zone", "out", "a", "--entry=" + entry.address() });
            const bool isUnknown = run.exitCode == ExitFailed && run.err.find("the outcome is unknown") != std::string::npos;
            cr_expect(isUnknown, "cut at %zu of %s: %d %s", cut, answer.c_str(), run.exitCode, run.err.c_str());
        }
        entry.answerWith(answer, raw_answer_server::closing::Orderly);
        cr_expect_eq(runCommand({ "zone", "out", "a", "--entry=" + entry.address() }).exitCode, ExitDone);
    }
}

Test(operations_commands, an_entry_that_can_not_be_reached_is_passed_over)
{
    const fake_operations_server server(accept);
    const command_run run = runCommand({ "zone", "out", "a", "--entry=127.0.0.1:1," + server.address() });
    cr_assert_eq(run.exitCode, ExitDone, "%s", run.err.c_str());
}

Test(operations_commands, status_is_printed_for_people_or_as_json)
{
    const std::string document
        = R"({"instance":"entry-1","leaving":false,"endpoints":[{"endpoint":"e1","slots":4}],"zones":[]})";
    const fake_operations_server server([&](const fake_request& request) {
        return request.uri == "/v1/status" ? fake_answer { 200, document } : fake_answer { 404, "" };
    });
    const command_run people = runAt(server, { "status" });
    cr_assert_eq(people.out, "endpoints:\n  - endpoint=e1  slots=4\ninstance: entry-1\nleaving: false\nzones: none\n");
    const command_run json = runAt(server, { "status", "--json" });
    cr_assert(nlohmann::json::parse(json.out) == nlohmann::json::parse(document));
}

Test(operations_commands, explain_escapes_its_subject)
{
    const fake_operations_server server([](const fake_request&) {
        return fake_answer { 200, R"({"decisions":[{"at_us":1,"kind":"placed","subject":"a&b","reason":"free"}]})" };
    });
    const command_run run = runAt(server, { "explain", "a&b c" });
    cr_assert_eq(run.exitCode, ExitDone);
    cr_assert_eq(server.requests().at(0).uri, "/v1/operations/explain?subject=a%26b%20c");
    cr_assert(run.out.find("reason=free") != std::string::npos, "%s", run.out.c_str());
}

Test(operations_commands, nothing_to_explain_is_a_failure)
{
    const fake_operations_server server([](const fake_request&) { return fake_answer { 200, R"({"decisions":[]})" }; });
    cr_assert_eq(runAt(server, { "explain", "x" }).exitCode, ExitFailed);
}

Test(operations_commands, an_answer_that_is_not_an_entrys_is_a_failure)
{
    const fake_operations_server server([](const fake_request&) { return fake_answer { 200, "<html>" }; });
    cr_assert_eq(runAt(server, { "status" }).exitCode, ExitFailed);
    const fake_operations_server notFound([](const fake_request&) { return fake_answer { 404, "<html>" }; });
    cr_assert_eq(runAt(notFound, { "status" }).exitCode, ExitFailed);
}
