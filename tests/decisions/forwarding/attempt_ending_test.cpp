#include "decisions/forwarding/attempt_ending.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

route routeOf(route_kind kind, bool resumable = false)
{
    route result;
    result.kind = kind;
    result.resumable = resumable;
    return result;
}

constexpr attempt_ending provenNotRun[] { attempt_ending::NotSent, attempt_ending::Rejected, attempt_ending::WrongEndpoint };
constexpr attempt_ending possiblyRun[] { attempt_ending::NoAnswer, attempt_ending::TruncatedAnswer, attempt_ending::InvalidAnswer,
    attempt_ending::FailureAnswer, attempt_ending::UnprovenRefusal, attempt_ending::TimedOut };

} // namespace

Test(attempt_ending, only_the_endpoints_word_or_an_unsent_request_proves_not_run)
{
    for (const auto ending : provenNotRun)
        cr_assert(executionStatusAfter(ending) == execution_status::NotRun);
    for (const auto ending : possiblyRun)
        cr_assert(executionStatusAfter(ending) != execution_status::NotRun);
}

Test(attempt_ending, a_non_repeatable_request_is_repeated_only_with_proof)
{
    for (const auto& nonRetryable : { routeOf(route_kind::NonRepeatable), routeOf(route_kind::Stream) }) {
        for (const auto ending : provenNotRun)
            cr_assert(mayRetry(nonRetryable, ending));
        for (const auto ending : possiblyRun)
            cr_assert(!mayRetry(nonRetryable, ending));
    }
}

Test(attempt_ending, idempotent_requests_and_resumable_streams_are_repeated)
{
    for (const auto& retryable : { routeOf(route_kind::Idempotent), routeOf(route_kind::Stream, true) }) {
        for (const auto ending : possiblyRun)
            cr_assert(mayRetry(retryable, ending));
    }
}
