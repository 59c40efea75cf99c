#pragma once

#include "observe/otlp.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace appleramp {

struct span_export_counts {
    std::uint64_t exported = 0;
    // Because the queue was full or the collector did not take them.
    std::uint64_t dropped = 0;
};

// Sends finished spans to a collector as OTLP JSON over HTTP, from its own thread. It never makes its caller wait: spans
// that the bounded queue can't hold, or that the collector does not take, are dropped and counted.
class span_exporter {
public:
    // Without a URL nothing is exported or counted.
    span_exporter(const std::string& url, span_source);
    // Sends what is queued once more, then ends.
    ~span_exporter();
    span_exporter(const span_exporter&) = delete;
    span_exporter& operator=(const span_exporter&) = delete;

    void add(finish_span);
    span_export_counts counts() const;

    static constexpr std::size_t maxQueuedSpans = 4096;
    static constexpr std::size_t maxSpansPerRequest = 256;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
