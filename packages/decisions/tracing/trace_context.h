#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

class trace_id_generator;

// Trace id, span id and sampled flag of one span, as the traceparent header of W3C Trace Context carries them.
class trace_context {
public:
    // The root span of a new trace.
    static trace_context root(trace_id_generator&);
    // Empty if the text is not a valid traceparent; the receiver then starts a new trace.
    static std::optional<trace_context> parse(std::string_view traceparent);

    // A new child span in the same trace.
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

// A child of the span in the received traceparent, or the root span of a new trace if that is not valid.
trace_context continueTrace(std::string_view traceparent, trace_id_generator&);

} // namespace appleramp
