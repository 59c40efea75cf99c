#pragma once

#include "model/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace appleramp {

// Remembers refused requests by their content until shortly after the time at which they were told to come back.
class returning_requests {
public:
    enum class return_kind {
        // Not refused lately, or no time was kept for it.
        New,
        AsTold,
        // Before the time that it was told.
        Early,
    };

    // `isPromised` if capacity is kept for the request at the time that it is told.
    void recordRefusal(instant now, std::uint64_t contentHash, duration retryAfter, bool isPromised);
    return_kind kindOf(instant now, std::uint64_t contentHash) const;
    // Time until the request may come back.
    duration timeLeft(instant now, std::uint64_t contentHash) const;
    void forget(std::uint64_t contentHash) { m_told.erase(contentHash); }
    std::size_t size() const { return m_told.size(); }

    static constexpr std::size_t maxRequests = 1024;
    // A caller that comes back this much early did what it was told: its clock counts from when it got the answer.
    static constexpr duration tolerance = std::chrono::milliseconds(30);
    // After this time the request counts as new.
    static constexpr duration returnWindow = std::chrono::seconds(2);

private:
    struct told_time {
        instant due;
        bool isPromised = false;
        std::uint64_t refusal = 0;
    };

    std::unordered_map<std::uint64_t, told_time> m_told;
    // Contents and numbers of the refusals; the oldest are forgotten first.
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_order;
    std::uint64_t m_refusals = 0;
};

} // namespace appleramp
