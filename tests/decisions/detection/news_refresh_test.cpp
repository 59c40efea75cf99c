#include "decisions/detection/news_refresh.h"

#include <criterion/criterion.h>

using namespace appleramp;
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(news_refresh, is_pending_after_a_pause_until_a_peer_answers)
{
    news_refresh refresh;
    instant now { seconds(1) };
    refresh.sees(now);
    refresh.sees(now += milliseconds(50));
    cr_assert_not(refresh.isPending());
    refresh.sees(now += seconds(10));
    cr_assert(refresh.isPending());
    const auto inquiry = refresh.inquiryDue(now);
    cr_assert_gt(inquiry, 0U);
    cr_assert_eq(refresh.inquiryDue(now), 0U);
    refresh.answered(inquiry);
    cr_assert_not(refresh.isPending());
}

Test(news_refresh, does_not_take_an_answer_from_before_the_pause)
{
    news_refresh refresh;
    instant now { seconds(1) };
    refresh.sees(now);
    refresh.sees(now += seconds(10));
    const auto old = refresh.inquiryDue(now);
    refresh.sees(now += seconds(10));
    refresh.answered(old);
    cr_assert(refresh.isPending());
}
