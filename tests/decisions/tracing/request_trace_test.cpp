#include "decisions/tracing/request_trace.h"

#include "decisions/tracing/trace_id_generator.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

const std::string received = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }

std::string spanId(const std::string& traceparent) { return trace_context::parse(traceparent)->spanId(); }

} // namespace

Test(request_trace, spans_of_a_request_hang_below_each_other)
{
    trace_id_generator ids(7);
    request_trace trace(received, ids, at(1));
    const finish_span queue = trace.endQueue(ids, at(3));
    trace.beginAttempt(ids, at(3));
    const std::string sent = trace.traceparent();
    const auto attempt = trace.endAttempt("completed", at(9));
    const finish_span request = trace.end("entry.request", "completed", at(10));

    cr_assert_eq(trace.traceId(), "4bf92f3577b34da6a3ce929d0e0e4736");
    cr_assert_eq(request.parentSpan, "00f067aa0ba902b7");
    cr_assert_eq(queue.parentSpan, spanId(request.traceparent));
    cr_assert_eq(attempt->parentSpan, spanId(request.traceparent));
    cr_assert_eq(attempt->traceparent, sent);
    cr_assert(queue.started == at(1) && queue.ended == at(3));
    cr_assert(attempt->started == at(3) && attempt->ended == at(9));
    cr_assert(request.started == at(1) && request.ended == at(10));
}

Test(request_trace, an_attempt_ends_once)
{
    trace_id_generator ids(7);
    request_trace trace(received, ids, at(1));
    cr_assert(!trace.endAttempt("completed", at(2)));
    trace.beginAttempt(ids, at(2));
    cr_assert(trace.endAttempt("no_slot", at(3)).has_value());
    cr_assert(!trace.endAttempt("completed", at(4)));
}

Test(request_trace, without_a_valid_traceparent_a_trace_begins)
{
    trace_id_generator ids(7);
    const request_trace trace("nonsense", ids, at(1));
    cr_assert(trace.end("entry.request", "completed", at(2)).parentSpan.empty());
    cr_assert_eq(trace.traceId().size(), 32u);
}
