#pragma once

#include <cstdint>
#include <string_view>

namespace appleramp {

// The score of one candidate for one purpose. Whoever takes the highest scores agrees with all others that know the same
// candidates, and a candidate that comes or goes moves only its own share (rendezvous hashing).
std::uint64_t rendezvousScore(std::string_view purpose, std::string_view candidate);

} // namespace appleramp
