#include "appleramp/command_descriptor.h"
#include "appleramp/command_error.h"
#include "appleramp/commands.h"
#include "appleramp/flags.h"
#include "appleramp/operations_responses.h"
#include "replay/outcome_checker.h"
#include "replay/trace_replay.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <ostream>

namespace appleramp {

namespace {

std::ifstream openFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw command_error(path + ": can't be opened; check the path and its permissions");
    return file;
}

// Prints one JSON line for each effect. The output is deterministic for a trace.
void printEffects(const std::string& path, std::ostream& out)
{
    std::ifstream trace = openFile(path);
    replayTrace(trace, path, [&out](const replayed_event& event) {
        for (const std::string& effect : event.effects)
            out << R"({"event":)" << event.number << R"(,"effect":)" << effect << "}\n";
    });
}

nlohmann::json toJson(const std::vector<outcome_failure>& failures)
{
    auto list = nlohmann::json::array();
    for (const outcome_failure& failure : failures)
        list.push_back({ { "line", failure.line }, { "text", failure.text } });
    return list;
}

void compareOutcomes(const std::string& path, const std::string& expected, std::ostream& out)
{
    std::ifstream outcomes = openFile(expected);
    std::ifstream trace = openFile(path);
    outcome_checker checker(outcomes, expected);
    std::uint64_t events = 0;
    replayTrace(trace, path, [&](const replayed_event& event) {
        checker.add(event);
        events = event.number;
    });
    const auto failures = checker.failures();
    printDocument(out,
        { { "trace", path }, { "events", events }, { "outcomes", checker.statements() },
            { "failures", toJson(failures) } });
    if (!failures.empty())
        throw command_error(expected + ':' + std::to_string(failures.front().line) + ": "
            + std::to_string(failures.size()) + " stated outcomes were not met; the first: " + failures.front().text);
}

} // namespace

void replayRecording(const command_call& call)
{
    if (FLAGS_expect.empty())
        printEffects(call.arguments[0], call.out);
    else
        compareOutcomes(call.arguments[0], FLAGS_expect, call.out);
}

} // namespace appleramp
