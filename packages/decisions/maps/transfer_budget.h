#pragma once

#include "model/time.h"

#include <cstdint>

namespace appleramp {

// Limits the bytes that all groups together load from the rate-limited weight store.
//
// A token bucket. The price of a byte rises as the bucket empties, so that when bytes are scarce only the moves that
// save most per byte are made, whichever group they belong to.
class transfer_budget {
public:
    transfer_budget(std::uint64_t bytesPerSecond, std::uint64_t burstBytes);

    std::uint64_t bytesPerSecond() const { return m_bytesPerSecond; }
    std::uint64_t available(instant now) const;
    // Factor on the cost of a transfer: 1 with a full bucket, rising as it empties.
    double priceFactor(instant now) const;
    // Takes all of the bytes and returns true, or takes none and returns false if too few are available.
    bool reserve(instant now, std::uint64_t bytes);
    // Returns bytes that were reserved for a switch that did not take place.
    void release(std::uint64_t bytes);

private:
    std::uint64_t m_bytesPerSecond;
    std::uint64_t m_burstBytes;
    double m_bytes;
    instant m_updated {};
};

} // namespace appleramp
