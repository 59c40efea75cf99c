#pragma once

#include "observe/otlp.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace appleramp {

struct span_export_counts {
    std::uint64_t exported = 0;
    // The queue was full, or the collector could not be reached or rejected the request.
    std::uint64_t dropped = 0;
};

// Exports finished spans to a collector as OTLP JSON over HTTP, on its own thread. add() never blocks on the collector:
// spans that do not fit into the bounded queue, or that the collector does not accept, are dropped and counted.
class span_exporter {
public:
    // If the URL is empty, nothing is exported or counted.
    span_exporter(const std::string& url, span_source);
    // Exports the queued spans, without retries, and stops. After a failed request the rest of the queue is dropped.
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
