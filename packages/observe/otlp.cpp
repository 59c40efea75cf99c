#include "observe/otlp.h"

#include "decisions/tracing/trace_context.h"

#include <nlohmann/json.hpp>

namespace appleramp {

namespace {

// SPAN_KIND_INTERNAL of the OTLP protocol.
constexpr int spanKindInternal = 1;

nlohmann::json attributeToJson(std::string_view key, std::string_view value)
{
    return { { "key", key }, { "value", { { "stringValue", value } } } };
}

std::string unixNanoseconds(const span_source& source, instant time)
{
    const auto wallClockAtZero = std::chrono::duration_cast<std::chrono::nanoseconds>(source.wallClockAtInstantZero.time_since_epoch());
    return std::to_string((wallClockAtZero + time.time_since_epoch()).count());
}

nlohmann::json resourceToJson(const span_source& source)
{
    auto attributes = nlohmann::json::array();
    attributes.push_back(attributeToJson("service.name", "appleramp"));
    attributes.push_back(attributeToJson("service.instance.id", source.instance.str()));
    attributes.push_back(attributeToJson("cloud.availability_zone", source.zone.str()));
    attributes.push_back(attributeToJson("appleramp.incarnation", std::to_string(source.processIncarnation)));
    return { { "attributes", std::move(attributes) } };
}

nlohmann::json spanToJson(const span_source& source, const finish_span& span, const trace_context& context)
{
    nlohmann::json json = { { "traceId", context.traceId() }, { "spanId", context.spanId() }, { "name", span.operation },
        { "kind", spanKindInternal }, { "startTimeUnixNano", unixNanoseconds(source, span.started) },
        { "endTimeUnixNano", unixNanoseconds(source, span.ended) } };
    if (!span.parentSpan.empty())
        json["parentSpanId"] = span.parentSpan;
    json["attributes"] = nlohmann::json::array({ attributeToJson("appleramp.outcome", span.outcome) });
    return json;
}

} // namespace

std::string otlpJson(const span_source& source, std::span<const finish_span> spans)
{
    auto spanList = nlohmann::json::array();
    for (const finish_span& span : spans) {
        if (const auto context = trace_context::parse(span.traceparent))
            spanList.push_back(spanToJson(source, span, *context));
    }
    const nlohmann::json scope = { { "scope", { { "name", "appleramp" } } }, { "spans", std::move(spanList) } };
    const nlohmann::json body = { { "resourceSpans",
        nlohmann::json::array(
            { { { "resource", resourceToJson(source) }, { "scopeSpans", nlohmann::json::array({ scope }) } } }) } };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace appleramp
