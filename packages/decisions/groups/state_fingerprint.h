#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace appleramp {

// Collects the values that later decisions depend on. Checkers of all interleavings compare states by it.
class state_fingerprint {
public:
    void add(std::uint64_t value) { m_text.append(reinterpret_cast<const char*>(&value), sizeof value); }
    void add(const std::optional<std::uint64_t>& value) { add(value ? *value + 1 : 0); }
    template <typename Range, typename Member>
    void addAll(const Range& range, Member member)
    {
        add(static_cast<std::uint64_t>(range.size()));
        for (const auto& element : range)
            member(*this, element);
    }
    const std::string& text() const { return m_text; }

private:
    std::string m_text;
};

} // namespace appleramp
