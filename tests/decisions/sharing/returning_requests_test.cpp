#include "decisions/sharing/returning_requests.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

using kind = returning_requests::return_kind;

// Guards against callers that gain by coming back early, and against promises that are forgotten.
Test(returning_requests, are_told_apart_by_when_they_come_back)
{
    returning_requests requests;
    requests.recordRefusal(instant(1s), 7, 500ms, true);
    requests.recordRefusal(instant(1s), 8, 500ms, false);
    cr_expect(requests.kindOf(instant(1100ms), 7) == kind::Early);
    cr_expect(requests.kindOf(instant(1500ms), 7) == kind::AsTold);
    cr_expect(requests.kindOf(instant(1500ms), 8) == kind::New);
    cr_expect(requests.kindOf(instant(4s), 7) == kind::New);
    cr_expect(requests.kindOf(instant(1500ms), 9) == kind::New);
}

// Guards against memory that grows with the refusals, and against forgetting a request that was refused again.
Test(returning_requests, are_bounded_and_the_oldest_refusals_are_forgotten)
{
    returning_requests requests;
    requests.recordRefusal(instant(1s), 1, 500ms, true);
    for (std::uint64_t content = 2; content <= returning_requests::maxRequests; ++content)
        requests.recordRefusal(instant(1s), content, 500ms, true);
    requests.recordRefusal(instant(1s), 1, 500ms, true);
    cr_expect_leq(requests.size(), returning_requests::maxRequests);
    cr_expect(requests.kindOf(instant(1500ms), 1) == kind::AsTold);
}
