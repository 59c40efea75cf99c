#pragma once

#include "decisions/tracing/trace_context.h"
#include "model/effects.h"

#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

class trace_id_generator;

// The spans of one request in one process: the request itself under the sender's span, and below it the time in the
// queue and each attempt. Every span is returned once, when it ends.
class request_trace {
public:
    // Continues the received traceparent, or begins a new trace if that is not valid.
    request_trace(std::string_view traceparent, trace_id_generator&, instant now);

    // What the journal calls the request.
    std::string subject() const { return m_request.traceId(); }

    // The request waits from now on.
    void enqueue(instant now) { m_waitingSince = now; }
    finish_span endQueue(trace_id_generator&, instant now) const;

    void beginAttempt(trace_id_generator&, instant now);
    // For the message or call that the attempt sends on; the request's own if there is no attempt.
    std::string traceparent() const;
    // Nothing if no attempt is open.
    std::optional<finish_span> endAttempt(std::string_view outcome, instant now);

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
