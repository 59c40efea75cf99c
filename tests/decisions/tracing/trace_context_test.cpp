#include "decisions/tracing/trace_context.h"

#include "decisions/tracing/trace_id_generator.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

const std::string valid = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

} // namespace

Test(trace_context, a_valid_traceparent_is_read_and_written_back)
{
    const auto context = trace_context::parse(valid);
    cr_assert(context.has_value());
    cr_assert_eq(context->traceId(), "4bf92f3577b34da6a3ce929d0e0e4736");
    cr_assert_eq(context->spanId(), "00f067aa0ba902b7");
    cr_assert_eq(context->str(), valid);
}

Test(trace_context, a_later_version_is_read_as_far_as_it_is_known)
{
    const auto context = trace_context::parse("cc" + valid.substr(2) + "-more");
    cr_assert(context.has_value());
    cr_assert_eq(context->str(), valid);
}

Test(trace_context, what_is_not_valid_is_refused)
{
    const std::string zeros(32, '0');
    for (const std::string& text : { std::string(), valid.substr(1), valid + "0", valid + "-more", "ff" + valid.substr(2),
             "00-" + zeros + valid.substr(35), valid.substr(0, 36) + zeros.substr(16) + "-01",
             "00-4BF92F3577B34DA6A3CE929D0E0E4736" + valid.substr(35), valid.substr(0, 53) + "0g",
             valid.substr(0, 35) + "_" + valid.substr(36) })
        cr_assert(!trace_context::parse(text), "%s", text.c_str());
}

Test(trace_context, a_child_stays_in_the_trace_with_its_own_span)
{
    trace_id_generator ids(7);
    const trace_context parent = trace_context::root(ids);
    const trace_context child = parent.child(ids);
    cr_assert_eq(child.traceId(), parent.traceId());
    cr_assert_neq(child.spanId(), parent.spanId());
    cr_assert(trace_context::parse(child.str()) == child);
}

Test(trace_context, the_same_seed_gives_the_same_ids)
{
    trace_id_generator first(7);
    trace_id_generator second(7);
    trace_id_generator other(8);
    const auto context = trace_context::root(first);
    cr_assert(context == trace_context::root(second));
    cr_assert(!(context == trace_context::root(other)));
}

Test(trace_context, a_trace_is_continued_or_begun)
{
    trace_id_generator ids(7);
    cr_assert_eq(continueTrace(valid, ids).traceId(), "4bf92f3577b34da6a3ce929d0e0e4736");
    cr_assert_eq(continueTrace("nonsense", ids).traceId().size(), 32u);
}
