#pragma once

#include "model/time.h"
#include "observe/metric_descriptor.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

struct metric_label {
    std::string_view name;
    std::string_view value;
};

using metric_labels = std::vector<metric_label>;

// Holds all metrics of a process. Thread-safe. To bound memory, a metric has at most maxSeries combinations of label
// values. Samples of further combinations are dropped and counted in appleramp_metric_series_dropped_total.
class metrics_registry {
public:
    metrics_registry();
    ~metrics_registry();

    // add() takes counters, set() gauges and observe() summaries.
    void add(const metric_descriptor&, const metric_labels& = {}, double amount = 1);
    void set(const metric_descriptor&, double value, const metric_labels& = {});
    void observe(const metric_descriptor&, duration, const metric_labels& = {});

    // All metrics in Prometheus text format 0.0.4, sorted by name.
    std::string prometheusText() const;

    static constexpr std::size_t maxSeries = 512;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
