#pragma once

#include "model/time.h"

#include <cstdint>
#include <memory>

namespace appleramp {

// Count, sum and quantiles of all durations added, in constant memory. The quantiles are exact for the first 128 samples
// and estimated by the P-square algorithm after that.
class latency_summary {
public:
    latency_summary();
    ~latency_summary();
    latency_summary(latency_summary&&) noexcept;
    latency_summary& operator=(latency_summary&&) noexcept;

    void add(duration);
    std::uint64_t count() const;
    duration sum() const;
    // Quantiles; zero if there are no samples.
    duration p50() const;
    duration p95() const;
    duration p99() const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
