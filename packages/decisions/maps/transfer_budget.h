#pragma once

#include "model/time.h"

#include <cstdint>

namespace appleramp {

// The bytes that all groups together may load from the rate-limited weight store.
//
// A token bucket. The price of a byte rises as the bucket empties, so that under shortage only the moves that save most
// per byte go ahead, whichever group they belong to.
class transfer_budget {
public:
    transfer_budget(std::uint64_t bytesPerSecond, std::uint64_t burstBytes);

    std::uint64_t bytesPerSecond() const { return m_bytesPerSecond; }
    std::uint64_t available(instant now) const;
    // 1 with a full bucket, growing as it empties.
    double priceFactor(instant now) const;
    // Takes the bytes, or nothing if they are not there.
    bool reserve(instant now, std::uint64_t bytes);
    // Gives back what was reserved for a switch that did not happen.
    void release(std::uint64_t bytes);

private:
    std::uint64_t m_bytesPerSecond;
    std::uint64_t m_burstBytes;
    double m_bytes;
    instant m_updated {};
};

} // namespace appleramp
