#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

// Makes malformed input from well-formed input. The same seed gives the same mutants.
class byte_mutator {
public:
    // The fragments are inserted as they are: what the format under test may trip over.
    byte_mutator(std::uint64_t seed, std::vector<std::string> fragments)
        : m_random(seed)
        , m_fragments(std::move(fragments))
    {
    }

    std::size_t below(std::size_t end) { return static_cast<std::size_t>(m_random() % end); }

    // Changes, removes, repeats or inserts some bytes.
    std::string mutate(std::string bytes)
    {
        for (std::size_t changes = 1 + below(4); changes > 0 && !bytes.empty(); --changes)
            mutateOnce(bytes);
        return bytes;
    }

    std::string randomBytes(std::size_t maxLength)
    {
        std::string bytes(below(maxLength + 1), '\0');
        for (char& byte : bytes)
            byte = static_cast<char>(m_random());
        return bytes;
    }

private:
    void mutateOnce(std::string& bytes)
    {
        const std::size_t at = below(bytes.size());
        switch (below(5)) {
        case 0:
            bytes[at] = static_cast<char>(m_random());
            break;
        case 1:
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << below(8)));
            break;
        case 2:
            bytes.erase(at, 1 + below(16));
            break;
        case 3:
            bytes.insert(at, bytes.substr(below(bytes.size()), 1 + below(64)));
            break;
        default:
            bytes.insert(at, m_fragments[below(m_fragments.size())]);
        }
    }

    std::mt19937_64 m_random;
    std::vector<std::string> m_fragments;
};

} // namespace appleramp
