#include "decisions/forwarding/admission_gate.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

// An endpoint with 12 slots and answers of 1.5 s; callers give up after 2 s without an answer.
admission_query query(double load)
{
    return { .load = load, .slots = 12, .answerTime = 1500ms, .latencyTarget = 500ms, .timeLeft = 8s };
}

} // namespace

Test(admission_gate, a_request_with_a_free_slot_is_admitted)
{
    const auto decision = admission_gate::decide(query(11), 0.5);
    cr_assert(decision.admitted);
    cr_assert(decision.expectedQueueWait == duration::zero());
}

// Guards against queueing a burst for so long that its callers give up before their turn.
Test(admission_gate, a_burst_is_refused_at_once_where_callers_would_leave_before_their_turn)
{
    cr_assert(admission_gate::decide(query(18), 0.5).admitted);
    const auto decision = admission_gate::decide(query(30), 0.5);
    cr_assert(!decision.admitted);
    cr_assert(decision.retryAfter > duration::zero());
}

Test(admission_gate, refused_callers_come_back_when_the_queue_has_drained_and_not_together)
{
    const auto shorter = admission_gate::decide(query(30), 0.0).retryAfter;
    const auto longer = admission_gate::decide(query(40), 0.0).retryAfter;
    cr_assert(longer > shorter);
    cr_assert(admission_gate::decide(query(30), 0.9).retryAfter > shorter);
    cr_assert(admission_gate::decide(query(500), 0.9).retryAfter <= admission_gate::maxRetryAfter);
}
