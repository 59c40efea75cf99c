#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

class trace_id_generator;

// One span's place in a distributed trace, as the traceparent header of W3C Trace Context carries it.
class trace_context {
public:
    // The first span of a new trace.
    static trace_context root(trace_id_generator&);
    // Nothing if the text is no valid traceparent: the receiver then begins a new trace.
    static std::optional<trace_context> parse(std::string_view traceparent);

    // A new span of the same trace, below this one.
    trace_context child(trace_id_generator&) const;

    // The value of the traceparent header.
    std::string str() const;
    // 32 and 16 lower-case hexadecimal digits.
    std::string traceId() const;
    std::string spanId() const;

    friend bool operator==(const trace_context&, const trace_context&) = default;

private:
    trace_context() = default;

    std::uint64_t m_traceHigh = 0;
    std::uint64_t m_traceLow = 0;
    std::uint64_t m_span = 0;
    std::uint8_t m_flags = 0;
};

// The span to work under: a child of the received traceparent, or the root of a new trace if that is not valid.
trace_context continueTrace(std::string_view traceparent, trace_id_generator&);

} // namespace appleramp
