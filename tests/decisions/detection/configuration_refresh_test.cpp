#include "decisions/detection/configuration_refresh.h"

#include <criterion/criterion.h>

using namespace appleramp;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(configuration_refresh, is_pending_after_a_pause_until_a_peer_answers)
{
    configuration_refresh refresh;
    instant now { seconds(1) };
    refresh.recordEvent(now);
    refresh.recordEvent(now += milliseconds(50));
    cr_assert_not(refresh.isPending());
    refresh.recordEvent(now += seconds(10));
    cr_assert(refresh.isPending());
    const auto inquiry = refresh.takeDueInquiry(now);
    cr_assert_gt(inquiry, 0U);
    cr_assert_eq(refresh.takeDueInquiry(now), 0U);
    refresh.recordAnswer(inquiry);
    cr_assert_not(refresh.isPending());
}

Test(configuration_refresh, does_not_take_an_answer_from_before_the_pause)
{
    configuration_refresh refresh;
    instant now { seconds(1) };
    refresh.recordEvent(now);
    refresh.recordEvent(now += seconds(10));
    const auto old = refresh.takeDueInquiry(now);
    refresh.recordEvent(now += seconds(10));
    refresh.recordAnswer(old);
    cr_assert(refresh.isPending());
}
