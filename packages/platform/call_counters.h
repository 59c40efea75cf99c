#pragma once

#include "model/platform_call.h"

#include <array>
#include <cstdint>
#include <string_view>
#include <variant>

namespace appleramp {

// What became of the calls of one kind.
struct call_counts {
    std::uint64_t done = 0;
    std::uint64_t conflict = 0;
    std::uint64_t notFound = 0;
    std::uint64_t unavailable = 0;
    std::uint64_t unknown = 0;

    std::uint64_t total() const { return done + conflict + notFound + unavailable + unknown; }
};

// Counts the outcomes of platform calls by kind: the platform's budgets of reads and writes are per call, whether or
// not calls travel together. Used by one thread at a time.
class call_counters {
public:
    static constexpr std::size_t kinds = std::variant_size_v<platform_call>;

    // Calls that were sent, and those that were answered without being sent.
    void countSent(const platform_call& call, platform_status status);
    void countUnsent(const platform_call& call);
    // One request and its answer on the wire, with however many calls.
    void countExchange() { ++m_exchanges; }

    // In the order of platform_call's alternatives.
    const std::array<call_counts, kinds>& sent() const { return m_sent; }
    const std::array<std::uint64_t, kinds>& unsent() const { return m_unsent; }
    std::uint64_t exchanges() const { return m_exchanges; }

    // Name of the kind, such as "table_put".
    static std::string_view kindName(std::size_t kind);

    std::uint64_t reads() const;
    std::uint64_t writes() const;

private:
    std::array<call_counts, kinds> m_sent {};
    std::array<std::uint64_t, kinds> m_unsent {};
    std::uint64_t m_exchanges = 0;
};

// Writes may have taken effect although their reply is lost.
bool isWrite(const platform_call& call);

} // namespace appleramp
