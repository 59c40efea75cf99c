#include "observe/metrics_registry.h"

#include <criterion/criterion.h>

#include <string>
#include <thread>
#include <vector>

using namespace appleramp;

namespace {

constexpr metric_descriptor requests = { "requests_total", metric_kind::Counter, "Requests." };
constexpr metric_descriptor inFlightRequests = { "in_flight", metric_kind::Gauge, "Requests in flight." };
constexpr metric_descriptor latency = { "latency_seconds", metric_kind::Summary, "Time to the whole answer." };

void assertContainsLine(const std::string& text, const std::string& line)
{
    cr_assert(text.find(line + "\n") != std::string::npos, "line %s is missing in\n%s", line.c_str(), text.c_str());
}

} // namespace

Test(metrics_registry, prints_prometheus_text)
{
    metrics_registry metrics;
    metrics.add(requests, { { "outcome", "completed" }, { "team", "a\"b" } });
    metrics.add(requests, { { "outcome", "completed" }, { "team", "a\"b" } }, 2);
    metrics.set(inFlightRequests, 7);
    metrics.observe(latency, std::chrono::milliseconds(250));
    const std::string text = metrics.prometheusText();
    assertContainsLine(text, "# HELP requests_total Requests.");
    assertContainsLine(text, "# TYPE requests_total counter");
    assertContainsLine(text, R"(requests_total{outcome="completed",team="a\"b"} 3)");
    assertContainsLine(text, "# TYPE in_flight gauge");
    assertContainsLine(text, "in_flight 7");
    assertContainsLine(text, "# TYPE latency_seconds summary");
    assertContainsLine(text, R"(latency_seconds{quantile="0.99"} 0.25)");
    assertContainsLine(text, "latency_seconds_sum 0.25");
    assertContainsLine(text, "latency_seconds_count 1");
}

Test(metrics_registry, series_are_bounded)
{
    metrics_registry metrics;
    for (std::size_t i = 0; i < metrics_registry::maxSeries + 10; ++i)
        metrics.add(requests, { { "team", std::to_string(i) } });
    metrics.add(requests, { { "team", "0" } });
    const std::string text = metrics.prometheusText();
    assertContainsLine(text, R"(requests_total{team="0"} 2)");
    assertContainsLine(text, "appleramp_metric_series_dropped_total 10");
}

Test(metrics_registry, threads_may_share_it)
{
    metrics_registry metrics;
    std::vector<std::thread> threads(4);
    for (std::thread& thread : threads) {
        thread = std::thread([&metrics] {
            for (int i = 0; i < 1000; ++i)
                metrics.add(requests);
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    assertContainsLine(metrics.prometheusText(), "requests_total 4000");
}
