#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace appleramp::tests {

// Counts the violations of each invariant in one schedule and keeps a description of the first one.
class broken_invariants {
public:
    void record(const std::string& invariant, const std::string& seen)
    {
        if (m_counts.empty())
            m_first = invariant + ": " + seen;
        ++m_counts[invariant];
    }

    bool none() const { return m_counts.empty(); }
    const std::string& first() const { return m_first; }
    const std::map<std::string, std::uint64_t>& counts() const { return m_counts; }

private:
    std::map<std::string, std::uint64_t> m_counts;
    std::string m_first;
};

} // namespace appleramp::tests
