#pragma once

#include <algorithm>
#include <cstddef>
#include <random>
#include <vector>

namespace appleramp::tests {

// The numbers of all entries but one, in random order.
inline std::vector<std::size_t> shuffledOthers(std::size_t entries, std::size_t self, std::mt19937_64& random)
{
    std::vector<std::size_t> others;
    for (std::size_t other = 0; other < entries; ++other) {
        if (other != self)
            others.push_back(other);
    }
    std::shuffle(others.begin(), others.end(), random);
    return others;
}

} // namespace appleramp::tests
