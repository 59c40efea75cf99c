#pragma once

#include "decisions/tracing/trace_context.h"
#include "model/effects.h"

#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

class trace_id_generator;

// The spans of one request in one process: the request's span, whose parent is the sender's span, and its child spans
// for time in the queue and for each attempt. Each span is returned once, when it ends.
class request_trace {
public:
    // Continues the trace of the received traceparent, or starts a new trace if that is not valid.
    request_trace(std::string_view traceparent, trace_id_generator&, instant now);

    // Identifies the request in the decision journal.
    std::string traceId() const { return m_request.traceId(); }

    // Starts the time in the queue.
    void beginQueue(instant now) { m_waitingSince = now; }
    finish_span endQueue(trace_id_generator&, instant now) const;

    void beginAttempt(trace_id_generator&, instant now);
    // The traceparent to send downstream: of the open attempt's span, or of the request's span if no attempt is open.
    std::string traceparent() const;
    // Empty if no attempt is open.
    std::optional<finish_span> endAttempt(std::string_view outcome, instant now);

    // The request's own span.
    finish_span end(std::string_view operation, std::string_view outcome, instant now) const;

private:
    struct open_attempt {
        trace_context context;
        instant started;
    };

    trace_context m_request;
    std::string m_parentSpan;
    instant m_started;
    instant m_waitingSince;
    std::optional<open_attempt> m_attempt;
};

} // namespace appleramp
