#pragma once

#include <string_view>

namespace appleramp {

enum class metric_kind {
    Counter,
    Gauge,
    // Durations, shown in seconds with quantiles.
    Summary,
};

// The one declaration of a metric. Declare it as a constant that lives as long as the process.
struct metric_descriptor {
    std::string_view name;
    metric_kind kind = metric_kind::Counter;
    std::string_view help;
};

} // namespace appleramp
