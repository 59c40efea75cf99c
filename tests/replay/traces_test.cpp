#include "replay/outcome_checker.h"
#include "replay/trace_replay.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

using namespace appleramp;

namespace {

const std::filesystem::path directory = "tests/traces";
const std::string traceSuffix = ".trace";

std::vector<std::filesystem::path> traces()
{
    std::vector<std::filesystem::path> found;
    for (const auto& file : std::filesystem::directory_iterator(directory)) {
        if (file.path().extension() == traceSuffix)
            found.push_back(file.path());
    }
    std::sort(found.begin(), found.end());
    return found;
}

void checkTrace(const std::filesystem::path& path)
{
    auto outcomesPath = path;
    outcomesPath.replace_extension(".outcomes");
    std::ifstream trace(path, std::ios::binary);
    std::ifstream outcomes(outcomesPath, std::ios::binary);
    cr_assert(outcomes.good(), "%s is missing", outcomesPath.c_str());
    outcome_checker checker(outcomes, outcomesPath.string());
    cr_assert_gt(checker.statements(), 0u, "%s contains no statements", outcomesPath.c_str());
    replayTrace(trace, path.string(), [&checker](const replayed_event& event) { checker.add(event); });
    for (const outcome_failure& failure : checker.failures())
        cr_expect(false, "%s:%lu: %s", outcomesPath.c_str(), failure.line, failure.text.c_str());
}

} // namespace

Test(traces, every_recorded_trace_gives_its_stated_outcomes)
{
    const auto all = traces();
    cr_assert(!all.empty());
    for (const auto& path : all)
        checkTrace(path);
}
