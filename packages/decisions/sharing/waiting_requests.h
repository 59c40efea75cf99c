#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace appleramp {

// A request that waits at the entry for a slot.
struct waiting_request {
    request_number request = 0;
    std::uint8_t rank = 0;
    std::uint32_t team = 0;
    // It came back at the time that it was told.
    bool isReturning = false;
    // When it must be sent to be answered on time.
    instant sendBy;
    // Until when it waits.
    instant waitsUntil;
    std::size_t bytes = 0;
    // Part of its team's demand that was not served lately; the team with the most goes first.
    double teamDeficit = 0;
};

// The requests of one service that wait at this entry: ordered by urgency rank, then returning ones, then by the deficits of
// their teams, then by when they must be sent; those that can no longer be on time are last.
class waiting_requests {
public:
    enum class add_outcome {
        Added,
        // It is weaker than all that wait.
        Full,
    };
    struct addition {
        add_outcome outcome = add_outcome::Added;
        // Weaker requests that gave up their places.
        std::vector<request_number> displaced;
    };

    addition add(instant now, const waiting_request& request);
    bool remove(request_number request);
    const waiting_request* find(request_number request) const;
    // The request of that rank that goes first.
    std::optional<waiting_request> takeFirst(instant now, std::uint8_t rank);
    // Requests of the rank that go before such a request.
    std::size_t countAhead(instant now, const waiting_request& request) const;
    std::size_t count(std::uint8_t rank) const;
    std::size_t size() const { return m_requests.size(); }
    std::size_t bytes() const { return m_bytes; }

    static constexpr std::size_t maxRequests = 64;
    // Entries have 112 MB and more.
    static constexpr std::size_t maxBytes = 4UL * 1024 * 1024;

private:
    static bool goesBefore(instant now, const waiting_request& left, const waiting_request& right);
    void eraseAt(std::size_t index);

    std::vector<waiting_request> m_requests;
    std::size_t m_bytes = 0;
};

} // namespace appleramp
