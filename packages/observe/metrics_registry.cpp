#include "observe/metrics_registry.h"

#include "observe/latency_summary.h"

#include <array>
#include <cassert>
#include <charconv>
#include <map>
#include <mutex>
#include <variant>

namespace appleramp {

namespace {

using series_value = std::variant<double, latency_summary>;

struct metric_family {
    metric_descriptor descriptor;
    // Keyed by the labels in Prometheus syntax.
    std::map<std::string, series_value> series;
};

constexpr metric_descriptor droppedSamplesMetric
    = { "appleramp_metric_series_dropped_total", metric_kind::Counter,
          "Samples of label combinations beyond the bound." };

std::string escapeLabelValue(std::string_view text)
{
    std::string result;
    for (const char c : text) {
        if (c == '\\' || c == '"')
            result.push_back('\\');
        if (c == '\n')
            result.append("\\n");
        else
            result.push_back(c);
    }
    return result;
}

// Labels in Prometheus syntax without the braces: name="value",...
std::string formatLabels(const metric_labels& labels)
{
    std::string text;
    for (const metric_label& label : labels) {
        if (!text.empty())
            text.push_back(',');
        text.append(label.name).append("=\"").append(escapeLabelValue(label.value)).append("\"");
    }
    return text;
}

std::string formatNumber(double value)
{
    std::array<char, 64> buffer {};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return { buffer.data(), result.ptr };
}

std::string_view kindName(metric_kind kind)
{
    switch (kind) {
    case metric_kind::Counter:
        return "counter";
    case metric_kind::Gauge:
        return "gauge";
    case metric_kind::Summary:
        break;
    }
    return "summary";
}

void printSample(std::string& text, std::string_view name, std::string_view labels, const std::string& value)
{
    text.append(name);
    if (!labels.empty())
        text.append("{").append(labels).append("}");
    text.append(" ").append(value).append("\n");
}

std::string formatSeconds(duration value) { return formatNumber(std::chrono::duration<double>(value).count()); }

// Prints the samples of one series, that is of one combination of label values.
class series_printer {
public:
    series_printer(std::string& text, std::string_view name, std::string_view labels)
        : m_text(text)
        , m_name(name)
        , m_labels(labels)
    {
    }

    void operator()(double value) { printSample(m_text, m_name, m_labels, formatNumber(value)); }

    void operator()(const latency_summary& summary)
    {
        printQuantile("0.5", summary.p50());
        printQuantile("0.95", summary.p95());
        printQuantile("0.99", summary.p99());
        printSample(m_text, std::string(m_name) + "_sum", m_labels, formatSeconds(summary.sum()));
        printSample(m_text, std::string(m_name) + "_count", m_labels, std::to_string(summary.count()));
    }

private:
    void printQuantile(std::string_view quantile, duration value)
    {
        std::string labels(m_labels);
        labels.append(labels.empty() ? "" : ",").append("quantile=\"").append(quantile).append("\"");
        printSample(m_text, m_name, labels, formatSeconds(value));
    }

    std::string& m_text;
    std::string_view m_name;
    std::string_view m_labels;
};

void printFamily(std::string& text, const metric_family& family)
{
    const std::string_view name = family.descriptor.name;
    text.append("# HELP ").append(name).append(" ").append(family.descriptor.help).append("\n");
    text.append("# TYPE ").append(name).append(" ").append(kindName(family.descriptor.kind)).append("\n");
    for (const auto& [labels, value] : family.series)
        std::visit(series_printer(text, name, labels), value);
}

series_value initialValue(metric_kind kind)
{
    if (kind == metric_kind::Summary)
        return latency_summary();
    return 0.0;
}

} // namespace

struct metrics_registry::implementation {
    mutable std::mutex mutex;
    std::map<std::string_view, metric_family> families;

    // Creates the series if it does not exist. Null if the metric already has maxSeries series.
    series_value* findOrCreate(const metric_descriptor& metric, const metric_labels& labels)
    {
        metric_family& family = families.try_emplace(metric.name, metric_family { metric, {} }).first->second;
        assert(family.descriptor.kind == metric.kind);
        std::string key = formatLabels(labels);
        const auto existing = family.series.find(key);
        if (existing != family.series.end())
            return &existing->second;
        if (family.series.size() >= maxSeries)
            return nullptr;
        return &family.series.emplace(std::move(key), initialValue(metric.kind)).first->second;
    }

    template <typename Value>
    Value* findOrCountDropped(const metric_descriptor& metric, const metric_labels& labels)
    {
        series_value* const value = findOrCreate(metric, labels);
        if (value)
            return &std::get<Value>(*value);
        std::get<double>(*findOrCreate(droppedSamplesMetric, {})) += 1;
        return nullptr;
    }
};

metrics_registry::metrics_registry()
    : m_implementation(std::make_unique<implementation>())
{
}

metrics_registry::~metrics_registry() = default;

void metrics_registry::add(const metric_descriptor& metric, const metric_labels& labels, double amount)
{
    assert(metric.kind == metric_kind::Counter);
    assert(amount >= 0);
    const std::lock_guard lock(m_implementation->mutex);
    if (double* const value = m_implementation->findOrCountDropped<double>(metric, labels))
        *value += amount;
}

void metrics_registry::set(const metric_descriptor& metric, double value, const metric_labels& labels)
{
    assert(metric.kind == metric_kind::Gauge);
    const std::lock_guard lock(m_implementation->mutex);
    if (double* const existing = m_implementation->findOrCountDropped<double>(metric, labels))
        *existing = value;
}

void metrics_registry::observe(const metric_descriptor& metric, duration sample, const metric_labels& labels)
{
    assert(metric.kind == metric_kind::Summary);
    const std::lock_guard lock(m_implementation->mutex);
    if (auto* const summary = m_implementation->findOrCountDropped<latency_summary>(metric, labels))
        summary->add(sample);
}

std::string metrics_registry::prometheusText() const
{
    const std::lock_guard lock(m_implementation->mutex);
    std::string text;
    for (const auto& [name, family] : m_implementation->families)
        printFamily(text, family);
    return text;
}

} // namespace appleramp
