#include "decisions/suspects/suspect_registry.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

constexpr std::uint64_t hash = 7;
constexpr instant now { std::chrono::seconds(1) };

} // namespace

Test(suspect_registry, convicts_only_after_a_crash_alone)
{
    suspect_registry registry;
    registry.crashed(hash, false, now);
    registry.crashed(hash, false, now);
    cr_assert(registry.levelOf(hash) == suspicion::Suspected);
    registry.crashed(hash, true, now);
    cr_assert(registry.levelOf(hash) == suspicion::Convicted);
}

Test(suspect_registry, suspects_again_after_a_clearing)
{
    suspect_registry registry;
    registry.crashed(hash, false, now);
    registry.completedAlone(hash, now);
    cr_assert(registry.levelOf(hash) == suspicion::Cleared);
    registry.crashed(hash, false, now);
    cr_assert(registry.levelOf(hash) == suspicion::Suspected);
}

Test(suspect_registry, ignores_old_news_and_spreads_each_rise_once)
{
    suspect_registry registry;
    registry.crashed(hash, true, now);
    cr_assert_eq(registry.takeRisen().size(), 1U);
    registry.heard({ hash, 1, suspicion::Suspected }, now);
    registry.heard({ hash, 1, suspicion::Convicted }, now);
    cr_assert(registry.takeRisen().empty());
    cr_assert(registry.levelOf(hash) == suspicion::Convicted);
}
