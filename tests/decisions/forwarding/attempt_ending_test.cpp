#include "decisions/forwarding/attempt_ending.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

route of(route_kind kind, bool resumable = false)
{
    route result;
    result.kind = kind;
    result.resumable = resumable;
    return result;
}

constexpr attempt_ending provenUnrun[] { attempt_ending::NotSent, attempt_ending::Rejected, attempt_ending::WrongEndpoint };
constexpr attempt_ending unproven[] { attempt_ending::NoAnswer, attempt_ending::CutAnswer, attempt_ending::ForeignAnswer,
    attempt_ending::FailureAnswer, attempt_ending::Silent };

} // namespace

Test(attempt_ending, only_the_endpoints_word_or_an_unsent_request_proves_not_run)
{
    for (const auto ending : provenUnrun)
        cr_assert(proofOf(ending) == run_proof::NotRun);
    for (const auto ending : unproven)
        cr_assert(proofOf(ending) != run_proof::NotRun);
}

Test(attempt_ending, a_non_repeatable_request_is_repeated_only_with_proof)
{
    for (const auto& fixed : { of(route_kind::NonRepeatable), of(route_kind::Stream) }) {
        for (const auto ending : provenUnrun)
            cr_assert(mayRepeat(fixed, ending));
        for (const auto ending : unproven)
            cr_assert(!mayRepeat(fixed, ending));
    }
}

Test(attempt_ending, idempotent_requests_and_resumable_streams_are_repeated)
{
    for (const auto& open : { of(route_kind::Idempotent), of(route_kind::Stream, true) }) {
        for (const auto ending : unproven)
            cr_assert(mayRepeat(open, ending));
    }
}
