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

Test(process_limits, the_machine_is_read)
{
    const machine_size machine = readMachineSize();
    cr_assert_gt(machine.memoryBytes, 16 * mebibyte);
    cr_assert_gt(machine.descriptors, 16);
}
