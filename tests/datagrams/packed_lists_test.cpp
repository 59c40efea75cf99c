#include "datagrams/packed_lists.h"

#include <criterion/criterion.h>

#include <random>

using namespace appleramp;

namespace {

expert_lists randomMap(std::mt19937& random, std::size_t lists, std::size_t length, unsigned experts)
{
    std::uniform_int_distribution<unsigned> pick(0, experts - 1);
    expert_lists map(lists);
    for (auto& list : map) {
        for (std::size_t index = 0; index < length; ++index)
            list.push_back(static_cast<expert_number>(pick(random)));
    }
    return map;
}

} // namespace

Test(packed_lists, lists_survive_a_round_trip)
{
    std::mt19937 random(1);
    for (const expert_lists& lists : { expert_lists {}, expert_lists { {} }, expert_lists { { 0 }, {}, { 65535, 1 } }, randomMap(random, 1920, 3, 384),
             randomMap(random, 3, 300, 64) }) {
        const auto bytes = packLists(lists);
        cr_assert(unpackLists(bytes) == lists);
    }
}

// The map of 192 ranks must fit into one datagram that a link of 6 Mbit/s takes in 10 ms.
Test(packed_lists, a_map_of_192_ranks_takes_7_kilobytes)
{
    std::mt19937 random(1);
    cr_assert_leq(packLists(randomMap(random, 1920, 3, 384)).size(), 7000);
}

// Guards against truncated, foreign and oversized input: no crash, and never more numbers than the bytes can hold.
Test(packed_lists, damaged_bytes_are_refused_or_bounded)
{
    std::mt19937 random(1);
    const auto whole = packLists(randomMap(random, 40, 3, 384));
    for (std::size_t length = 0; length < whole.size(); ++length)
        cr_assert_not(unpackLists(std::span(whole).first(length)).has_value());
    for (int round = 0; round < 20'000; ++round) {
        auto damaged = whole;
        damaged[random() % damaged.size()] = static_cast<std::uint8_t>(random());
        damaged[random() % 4] = static_cast<std::uint8_t>(random());
        const auto lists = unpackLists(damaged);
        std::size_t numbers = 0;
        for (const auto& list : lists.value_or(expert_lists {}))
            numbers += list.size();
        cr_assert_leq(numbers, damaged.size() * 8);
    }
}
