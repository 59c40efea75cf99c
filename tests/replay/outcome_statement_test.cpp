#include "replay/outcome_statement.h"

#include "replay/outcome_checker.h"
#include "replay/replay_error.h"
#include "replay/trace_replay.h"

#include <criterion/criterion.h>

#include <sstream>

using namespace appleramp;

namespace {

const std::vector<replayed_event> events = {
    { 1, { R"({"type":"open_link","value":{"address":"a","instance":"i"}})" } },
    { 2, {} },
    { 3, { R"({"type":"reply_end","value":{"number":7}})", R"({"type":"reply_end","value":{"number":8}})" } },
};

// Returns the text of the first failure, or an empty string if the statement holds.
std::string failureOf(const std::string& statement)
{
    std::istringstream input(statement);
    outcome_checker checker(input, "outcomes");
    for (const replayed_event& event : events)
        checker.add(event);
    const auto failures = checker.failures();
    return failures.empty() ? "" : failures.front().text;
}

void assertHolds(const std::string& statement)
{
    const std::string failure = failureOf(statement);
    cr_assert(failure.empty(), "%s", failure.c_str());
}

void assertFails(const std::string& statement) { cr_assert(!failureOf(statement).empty(), "%s", statement.c_str()); }

} // namespace

Test(outcome_statement, patterns_match_by_their_members)
{
    const auto effect = nlohmann::json::parse(R"({"a":1,"b":{"c":[1,2],"d":null}})");
    for (const char* pattern : { "{}", R"({"a":1})", R"({"b":{"c":[1,2]}})", R"({"b":{"d":null}})" })
        cr_assert(matches(effect, nlohmann::json::parse(pattern)), "%s", pattern);
    for (const char* pattern : { R"({"a":2})", R"({"e":1})", R"({"b":{"c":[1]}})", R"({"b":{"c":[1,3]}})", "[]", R"({"a":{}})" })
        cr_assert(!matches(effect, nlohmann::json::parse(pattern)), "%s", pattern);
}

Test(outcome_statement, each_kind_holds_and_fails)
{
    assertHolds(R"({"event":2,"effects":[]})");
    assertFails(R"({"event":1,"effects":[]})");
    assertFails(R"({"event":9,"effects":[]})");
    assertHolds(R"({"event":3,"has":{"value":{"number":8}}})");
    assertFails(R"({"event":2,"has":{}})");
    assertFails(R"({"event":9,"has":{}})");
    assertHolds(R"({"count":2,"of":{"type":"reply_end"}})");
    assertFails(R"({"count":1,"of":{"type":"reply_end"}})");
    assertHolds(R"({"never":{"type":"reply_head"}})");
    assertFails(R"({"never":{"type":"reply_end"}})");
    assertHolds(R"({"sometime":{"type":"open_link"}})");
    assertFails(R"({"sometime":{"type":"close_link"}})");
}

Test(outcome_statement, comments_and_empty_lines_are_passed_over)
{
    assertHolds("# nothing\n\n   \n{\"event\":2,\"effects\":[]}\n");
}

Test(outcome_statement, a_line_that_states_nothing_is_named)
{
    for (const char* text : { "\n{}", "\nnonsense", "\n{\"has\":{}}", "\n[]", "\n{\"event\":-1,\"has\":3,\"x\":" }) {
        std::istringstream input(text);
        std::string what;
        try {
            const outcome_checker checker(input, "outcomes");
        } catch (const replay_error& problem) {
            what = problem.what();
        }
        cr_assert(what.starts_with("outcomes:2: "), "%s: %s", text, what.c_str());
    }
}
