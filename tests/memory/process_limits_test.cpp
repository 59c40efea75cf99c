#include "memory/machine_size.h"
#include "memory/process_limits.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

constexpr std::size_t mebibyte = 1024UL * 1024;
constexpr std::size_t largestBody = 4 * mebibyte;
constexpr std::size_t largestAnswer = 7 * mebibyte;
constexpr std::size_t servicePorts = 3;

} // namespace

// Guards against limits that refuse a single request of the largest size, or leave no descriptor for endpoints and the store.
Test(process_limits, every_machine_serves_large_requests_and_keeps_descriptors)
{
    for (const machine_size machine : { machine_size { 112 * mebibyte, 2870 }, machine_size { 160 * mebibyte, 4100 },
             machine_size { 260 * mebibyte, 4100 }, machine_size { 512 * mebibyte, 8192 }, machine_size { 112 * mebibyte, 256 } }) {
        const process_limits limits = limitsFor(machine);
        cr_assert_geq(limits.heldBytes / 4 * 3, largestBody + largestAnswer);
        cr_assert_leq(limits.heldBytes, machine.memoryBytes / 2);
        cr_assert_leq(limits.callerConnections + servicePorts * limits.serviceConnections, machine.descriptors / 8 * 7);
        cr_assert_geq(limits.callerConnections, machine.descriptors < 1000 ? 64 : 800);
    }
}

// Guards against a process on a large machine that takes memory which others on it need.
Test(process_limits, memory_that_is_found_and_not_stated_counts_as_that_of_a_small_machine)
{
    const process_limits small = limitsFor({ 160 * mebibyte, 4100 });
    const process_limits found = limitsFor({ 24'000 * mebibyte, 4100 });
    cr_assert_eq(found.heldBytes, small.heldBytes);
    cr_assert_eq(found.bodyBytes, small.bodyBytes);
    cr_assert_gt(limitsFor({ .memoryBytes = 512 * mebibyte, .descriptors = 4100, .isMemoryStated = true }).heldBytes, small.heldBytes);
}

// Guards against idle connections that use up the room of requests.
Test(process_limits, connections_that_do_nothing_leave_room)
{
    const process_limits limits = limitsFor({ 24'000 * mebibyte, 1'000'000 });
    cr_assert_leq(limits.callerConnections * 8 * 1024, limits.heldBytes / 2);
}

Test(process_limits, the_machine_is_read)
{
    const machine_size machine = readMachineSize();
    cr_assert_gt(machine.memoryBytes, 16 * mebibyte);
    cr_assert_gt(machine.descriptors, 16);
}
