#include "memory/connection_load.h"

#include <criterion/criterion.h>

#include <vector>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t mebibyte = 1024UL * 1024;

} // namespace

// Guards against a crowd of stalled bodies that makes a sound upload of the same size give way.
Test(connection_load, memory_is_taken_from_what_is_held_longest)
{
    const std::vector<connection_load> connections { { 4 * mebibyte, 20ms, 20ms }, { 4 * mebibyte - 1, 3s, 3s }, { 4 * mebibyte - 1, 2s, 2s } };
    cr_assert_eq(chooseForMemory(connections).value(), 1);
}

// Guards against a caller that holds much, and keeps it by sending a byte at a time, while small ones give way.
Test(connection_load, memory_is_taken_from_large_holders_before_small_ones)
{
    const std::vector<connection_load> connections { { 64UL * 1024, 5s, 5s }, { 4 * mebibyte, 1s, 1s } };
    cr_assert_eq(chooseForMemory(connections).value(), 1);
}

// Guards against requests that are lost for memory: only unread answers of them count, not their waiting.
Test(connection_load, requests_that_were_passed_on_keep_their_connection)
{
    std::vector<connection_load> connections { { .heldBytes = 4 * mebibyte, .heldFor = 5s, .isAnswering = true } };
    cr_assert(!chooseForMemory(connections));
    cr_assert(!chooseForDescriptor(connections));
    connections.front().hasOutput = true;
    cr_assert_eq(chooseForMemory(connections).value(), 0);
    cr_assert(!chooseForDescriptor(connections));
}

// Guards against idle connections that are closed by the hundred and free next to nothing.
Test(connection_load, idle_connections_free_no_memory)
{
    const std::vector<connection_load> connections { { 6UL * 1024, 15s, 15s } };
    cr_assert(!chooseForMemory(connections));
    cr_assert_eq(chooseForDescriptor(connections).value(), 0);
}

Test(connection_load, the_quietest_connection_gives_its_descriptor)
{
    const std::vector<connection_load> connections { { .quietFor = 9s, .hasOutput = true }, { .quietFor = 2s }, { .quietFor = 3s }, { .quietFor = 1s } };
    cr_assert_eq(chooseForDescriptor(connections).value(), 2);
}

Test(connection_load, nothing_is_chosen_of_nothing)
{
    cr_assert(!chooseForMemory({}));
    cr_assert(!chooseForDescriptor({}));
}
