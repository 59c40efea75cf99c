#include "decisions/tracing/request_trace.h"

#include "decisions/tracing/trace_id_generator.h"

namespace appleramp {

namespace {

constexpr std::string_view queueOperation = "entry.queue";
constexpr std::string_view attemptOperation = "entry.attempt";

std::string spanIdOf(std::string_view traceparent)
{
    const auto received = trace_context::parse(traceparent);
    return received ? received->spanId() : std::string();
}

finish_span makeSpan(std::string_view operation, const trace_context& self, std::string parent, instant started,
    instant ended, std::string_view outcome)
{
    return { std::string(operation), self.str(), std::move(parent), started, ended, std::string(outcome) };
}

} // namespace

request_trace::request_trace(std::string_view traceparent, trace_id_generator& ids, instant now)
    : m_request(continueTrace(traceparent, ids))
    , m_parentSpan(spanIdOf(traceparent))
    , m_started(now)
    , m_waitingSince(now)
{
}

finish_span request_trace::endQueue(trace_id_generator& ids, instant now) const
{
    return makeSpan(queueOperation, m_request.child(ids), m_request.spanId(), m_waitingSince, now, "placed");
}

void request_trace::beginAttempt(trace_id_generator& ids, instant now)
{
    m_attempt = open_attempt { m_request.child(ids), now };
}

std::string request_trace::traceparent() const { return m_attempt ? m_attempt->context.str() : m_request.str(); }

std::optional<finish_span> request_trace::endAttempt(std::string_view outcome, instant now)
{
    if (!m_attempt)
        return std::nullopt;
    const open_attempt attempt = *m_attempt;
    m_attempt.reset();
    return makeSpan(attemptOperation, attempt.context, m_request.spanId(), attempt.started, now, outcome);
}

finish_span request_trace::end(std::string_view operation, std::string_view outcome, instant now) const
{
    return makeSpan(operation, m_request, m_parentSpan, m_started, now, outcome);
}

} // namespace appleramp
