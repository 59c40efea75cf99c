#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

// Creates malformed input for fuzz tests by mutating valid input. The same seed gives the same sequence of mutations.
class byte_mutator {
public:
    // The fragments are byte sequences that are significant in the format under test. They are inserted unchanged.
    byte_mutator(std::uint64_t seed, std::vector<std::string> fragments)
        : m_random(seed)
        , m_fragments(std::move(fragments))
    {
    }

    // A random number that is less than end.
    std::size_t below(std::size_t end) { return static_cast<std::size_t>(m_random() % end); }

    // Applies one to four random changes: replaces a byte, flips a bit, removes or repeats some bytes, or inserts a
    // fragment.
    std::string mutate(std::string bytes)
    {
        for (std::size_t remainingChanges = 1 + below(4); remainingChanges > 0 && !bytes.empty(); --remainingChanges)
            applyMutation(bytes);
        return bytes;
    }

    // Between zero and maxLength random bytes.
    std::string randomBytes(std::size_t maxLength)
    {
        std::string bytes(below(maxLength + 1), '\0');
        for (char& byte : bytes)
            byte = static_cast<char>(m_random());
        return bytes;
    }

private:
    void applyMutation(std::string& bytes)
    {
        const std::size_t position = below(bytes.size());
        switch (below(5)) {
        case 0:
            bytes[position] = static_cast<char>(m_random());
            break;
        case 1:
            bytes[position] = static_cast<char>(bytes[position] ^ (1 << below(8)));
            break;
        case 2:
            bytes.erase(position, 1 + below(16));
            break;
        case 3:
            bytes.insert(position, bytes.substr(below(bytes.size()), 1 + below(64)));
            break;
        default:
            bytes.insert(position, m_fragments[below(m_fragments.size())]);
        }
    }

    std::mt19937_64 m_random;
    std::vector<std::string> m_fragments;
};

} // namespace appleramp
