#include "decisions/forwarding/admission_gate.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

// Twelve slots, answers of 1.5 s, callers who leave a silent answer after 2 s.
admission_query query(double load)
{
    return { .load = load, .slots = 12, .occupancy = 1500ms, .latencyTarget = 500ms, .timeLeft = 8s };
}

} // namespace

Test(admission_gate, a_request_with_a_free_slot_is_admitted)
{
    const auto verdict = admission_gate::judge(query(11), 0.5);
    cr_assert(verdict.admitted);
    cr_assert(verdict.expectedWait == duration::zero());
}

// Pattern: a burst beyond what callers wait for.
Test(admission_gate, a_burst_is_refused_at_once_where_callers_would_leave_before_their_turn)
{
    cr_assert(admission_gate::judge(query(18), 0.5).admitted);
    const auto verdict = admission_gate::judge(query(30), 0.5);
    cr_assert(!verdict.admitted);
    cr_assert(verdict.retryAfter > duration::zero());
}

Test(admission_gate, refused_callers_come_back_when_the_queue_has_drained_and_not_together)
{
    const auto shorter = admission_gate::judge(query(30), 0.0).retryAfter;
    const auto longer = admission_gate::judge(query(40), 0.0).retryAfter;
    cr_assert(longer > shorter);
    cr_assert(admission_gate::judge(query(30), 0.9).retryAfter > shorter);
    cr_assert(admission_gate::judge(query(500), 0.9).retryAfter <= admission_gate::longestReturn);
}
