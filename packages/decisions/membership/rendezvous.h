#pragma once

#include <cstdint>
#include <string_view>

namespace appleramp {

// Rendezvous hashing (highest random weight): the score of a candidate for a key. All processes that know the same
// candidates choose the same ones for a key by highest score, and adding or removing a candidate changes only the keys
// that it wins.
std::uint64_t rendezvousScore(std::string_view key, std::string_view candidate);

} // namespace appleramp
