#pragma once

#include "decisions/groups/group_map.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace appleramp {

using expert_lists = std::vector<std::vector<expert_number>>;

// Encodes lists of small numbers with as few bits for each number as the largest one needs: the width in bits, the common
// length of the lists or `variableLength`, the number of lists in two bytes, and then the bits, lowest first.
std::vector<std::uint8_t> packLists(const expert_lists& lists);
// Returns nothing if the bytes are not what packLists() writes.
std::optional<expert_lists> unpackLists(std::span<const std::uint8_t> bytes);

} // namespace appleramp
