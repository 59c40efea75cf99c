#include "decisions/membership/rendezvous.h"

#include <xxhash.h>

namespace appleramp {

std::uint64_t rendezvousScore(std::string_view key, std::string_view candidate)
{
    return XXH64(candidate.data(), candidate.size(), XXH64(key.data(), key.size(), 0));
}

} // namespace appleramp
