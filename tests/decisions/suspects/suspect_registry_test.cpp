#include "decisions/suspects/suspect_registry.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

constexpr std::uint64_t contentHash = 7;
constexpr instant now { std::chrono::seconds(1) };

} // namespace

Test(suspect_registry, convicts_only_after_a_crash_alone)
{
    suspect_registry registry;
    registry.recordCrash(contentHash, false, now);
    registry.recordCrash(contentHash, false, now);
    cr_assert(registry.levelOf(contentHash) == suspicion::Suspected);
    registry.recordCrash(contentHash, true, now);
    cr_assert(registry.levelOf(contentHash) == suspicion::Convicted);
}

Test(suspect_registry, suspects_again_after_a_clearing)
{
    suspect_registry registry;
    registry.recordCrash(contentHash, false, now);
    registry.recordSoloCompletion(contentHash, now);
    cr_assert(registry.levelOf(contentHash) == suspicion::Cleared);
    registry.recordCrash(contentHash, false, now);
    cr_assert(registry.levelOf(contentHash) == suspicion::Suspected);
}

Test(suspect_registry, ignores_old_news_and_spreads_each_rise_once)
{
    suspect_registry registry;
    registry.recordCrash(contentHash, true, now);
    cr_assert_eq(registry.takeUpdates().size(), 1U);
    registry.merge({ contentHash, 1, suspicion::Suspected }, now);
    registry.merge({ contentHash, 1, suspicion::Convicted }, now);
    cr_assert(registry.takeUpdates().empty());
    cr_assert(registry.levelOf(contentHash) == suspicion::Convicted);
}
