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

// All metrics of a process. Threads may share it. Memory is bounded: of one metric it keeps at most maxSeries
// combinations of label values; further ones are counted in appleramp_metric_series_dropped_total only.
class metrics_registry {
public:
    metrics_registry();
    ~metrics_registry();

    // Each takes a metric of its kind.
    void add(const metric_descriptor&, const metric_labels& = {}, double amount = 1);
    void set(const metric_descriptor&, double value, const metric_labels& = {});
    void observe(const metric_descriptor&, duration, const metric_labels& = {});

    // Prometheus text format 0.0.4, in the order of the names.
    std::string prometheusText() const;

    static constexpr std::size_t maxSeries = 512;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
