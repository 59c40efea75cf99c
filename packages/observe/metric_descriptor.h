#pragma once

#include <string_view>

namespace appleramp {

enum class metric_kind {
    Counter,
    Gauge,
    // Durations, exported in seconds with quantiles.
    Summary,
};

// Name, kind and help text of a metric. Each metric has a single descriptor, declared as a constant with static storage
// duration, because the registry does not copy the strings.
struct metric_descriptor {
    std::string_view name;
    metric_kind kind = metric_kind::Counter;
    std::string_view help;
};

} // namespace appleramp
