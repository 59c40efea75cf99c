#include "schedules/schedule_runner.h"

#include "schedules/crashing_caller.h"
#include "schedules/fake_callers.h"
#include "schedules/fake_operators.h"
#include "schedules/issued_key_callers.h"
#include "schedules/order_book.h"
#include "schedules/schedule_world.h"
#include "schedules/slot_limit_checker.h"

namespace appleramp::tests {

namespace {

constexpr instant firstChangesAt { std::chrono::milliseconds(500) };
constexpr std::uint64_t manyEntriesEvery = 5;
constexpr std::size_t manyEntries = 9;
constexpr instant scheduleEnd { std::chrono::seconds(32) };

void declareServices(fake_operators& operators)
{
    service_policy repeatable;
    repeatable.repeatableRoutes = { "/v1/" };
    operators.change(put_service { service_id("assistant"), repeatable });
}

} // namespace

std::vector<fault_kind> faultsOfSeed(std::uint64_t seed)
{
    const auto kinds = allFaultKinds();
    const auto singles = kinds.size();
    const auto turn = seed % (singles + singles * singles);
    if (turn < singles)
        return { kinds[turn] };
    const auto pair = turn - singles;
    return { kinds[pair / singles], kinds[pair % singles] };
}

schedule_result runSchedule(std::uint64_t seed) { return runSchedule(seed, faultsOfSeed(seed)); }

schedule_result runSchedule(std::uint64_t seed, const std::vector<fault_kind>& faults)
{
    schedule_result result;
    result.faults = faults;
    world_options options;
    options.seed = seed;
    // Nine entries in three zones: not every entry of a zone reads the table often, and there are more entries than
    // slots of one endpoint.
    if (seed % manyEntriesEvery == 0)
        options.entries = manyEntries;
    schedule_world world(options, result.broken);
    order_book orders(result.broken);
    fake_operators operators(world);
    fake_callers callers(world, orders, {});
    issued_key_callers issuedKeys(world, orders, {});
    world.queue().runAt(firstChangesAt, [&operators] { declareServices(operators); });
    crashing_caller crashing(world);
    slot_limit_checker slots(world);
    planFaults(world, operators, crashing, faults);
    world.run(scheduleEnd);
    operators.checkAccepted();
    if (!world.allHaveNewestConfiguration())
        result.broken.record("configuration_not_everywhere", "at the end of the schedule");
    result.prompts = callers.prompts();
    result.promptsAnswered = callers.promptsAnswered();
    result.orders = callers.orders();
    result.issuedKeys = issuedKeys.keysGiven();
    result.issuedOrdersCompleted = issuedKeys.ordersCompleted();
    result.ordersCompleted = callers.ordersCompleted();
    return result;
}

} // namespace appleramp::tests
