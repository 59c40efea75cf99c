#pragma once

#include "model/platform_call.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>

namespace appleramp {

// Number of calls of one kind by outcome.
struct call_counts {
    std::uint64_t done = 0;
    std::uint64_t conflict = 0;
    std::uint64_t notFound = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t unknown = 0;

    std::uint64_t total() const { return done + conflict + notFound + unavailable + unknown; }
};

// Counts the outcomes of platform calls by kind. Calls are counted rather than HTTP requests because the platform limits
// reads and writes per call, batched or not. Not thread-safe.
class call_counters {
public:
    static constexpr std::size_t kindCount = std::variant_size_v<platform_call>;

    // Counts a call that was sent with the given result.
    void countSent(const platform_call& call, platform_status status);
    // Counts a call that was answered without being sent.
    void countUnsent(const platform_call& call);
    // Counts one HTTP request to the platform, whatever the number of calls in it. Failed connection attempts count too.
    void countExchange() { ++m_exchanges; }

    // Counts by kind. The index is that of the alternative in platform_call.
    const std::array<call_counts, kindCount>& sent() const { return m_sent; }
    const std::array<std::uint64_t, kindCount>& unsent() const { return m_unsent; }
    std::uint64_t exchanges() const { return m_exchanges; }

    // Name of a kind by its index, such as "table_put".
    static std::string_view kindName(std::size_t kind);

    // Calls that were sent, by whether they modify stored data.
    std::uint64_t reads() const;
    std::uint64_t writes() const;

private:
    std::array<call_counts, kindCount> m_sent {};
    std::array<std::uint64_t, kindCount> m_unsent {};
    std::uint64_t m_exchanges = 0;
};

// True for calls that modify stored data: these may have taken effect even if their reply was lost.
bool isWrite(const platform_call& call);

} // namespace appleramp
