#pragma once

#include "model/time.h"

#include <cstdint>

namespace appleramp {

// Divides the requests of a rate into turns of equal length. All entries count the turns of an endpoint from the same moment,
// so that each turn can belong to few of them.
//
// A share of a rate would be less than one request for each entry: at one request per second, 48 entries that each send one
// within their own window send 48 in the same second.
class request_turns {
public:
    request_turns(double requestsPerSecond, instant from);

    bool hasBegun(instant now) const { return now >= m_from; }
    // The turn at that time; the first one before it has begun.
    std::uint64_t turnAt(instant now) const;
    instant startOf(std::uint64_t turn) const { return m_from + m_length * static_cast<duration::rep>(turn); }
    duration length() const { return m_length; }
    // Requests of all entries in one turn.
    std::uint64_t requestsPerTurn() const { return m_requestsPerTurn; }

    // Turns of higher rates hold several requests, since shorter ones pass unused between two requests of a caller.
    static constexpr double shortTurnSeconds = 0.5;

private:
    instant m_from;
    duration m_length;
    std::uint64_t m_requestsPerTurn = 1;
};

} // namespace appleramp
