#include "datagrams/datagram_class.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

datagram_class groupClass(group_message message) { return classOf(group_datagram { "group", std::move(message) }); }

} // namespace

// A group stands still until it knows the outcome of its switch, so that message must not wait behind maps or counts.
Test(datagram_class, what_a_held_group_waits_for_comes_first)
{
    cr_assert_eq(groupClass(switch_outcome {}).priority, datagram_priority::Switch);
    cr_assert_eq(groupClass(switch_request {}).priority, datagram_priority::Switch);
    cr_assert_eq(groupClass(status_query {}).priority, datagram_priority::Switch);
    cr_assert_lt(groupClass(rank_status {}).priority, groupClass(map_proposal {}).priority);
    cr_assert_lt(groupClass(map_changes {}).priority, groupClass(expert_choice_counts {}).priority);
}

// An outcome must never be replaced in the queue by one of another switch, nor counts by later counts.
Test(datagram_class, only_states_are_replaced_by_newer_ones)
{
    cr_assert(groupClass(switch_outcome {}).topic.empty());
    cr_assert(groupClass(expert_choice_counts {}).topic.empty());
    cr_assert_not(groupClass(rank_status {}).topic.empty());
    cr_assert_eq(groupClass(map_proposal {}).topic, groupClass(map_changes {}).topic);
    cr_assert_not(classOf(endpoint_load {}).topic.empty());
}
