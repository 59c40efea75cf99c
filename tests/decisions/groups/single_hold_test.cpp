#include "single_hold_checker.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

constexpr switch_request request { { 1, 7, 201 }, 1 };

void check(const checked_group& group)
{
    const check_result result = checkSingleHold(group);
    for (const std::string& step : result.steps)
        cr_log_error("%s", step.c_str());
    cr_assert_eq(result.mixedPasses, 0);
    cr_assert(result.isComplete);
    // Both ends of a switch were tried.
    cr_assert_gt(result.committedPasses, 0);
    cr_assert_gt(result.abortedPasses, 0);
}

} // namespace

// Failure: some ranks begin a pass with the new map and others with the old one, as the hold ends while an arm order is still
// under way. Larger groups: check_single_hold.
Test(single_hold, no_interleaving_of_one_switch_mixes_maps)
{
    check({ .requests = { request } });
}

// Failure: a rank arms under the single hold of one coordinator and is released by the rules of the other protocol.
Test(single_hold, no_interleaving_of_both_protocols_mixes_maps)
{
    check({ .requests = { request, { { 1, 7, 201 }, std::nullopt } } });
}
