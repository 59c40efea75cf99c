#include "decisions/sharing/waiting_requests.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

waiting_request request(request_number number, std::uint8_t rank, duration sendBy, double deficit = 0)
{
    return { number, rank, 0, false, instant(sendBy), instant(sendBy), 100, deficit };
}

} // namespace

// Guards against another order than rank, returning, team deficit, deadline, and those that are late anyway.
Test(waiting_requests, go_in_their_order)
{
    waiting_requests waiting;
    waiting_request returning = request(5, 1, 9s);
    returning.isReturning = true;
    for (const auto& each : { request(1, 1, 1s), request(2, 1, 5s), request(3, 1, 4s), request(4, 1, 6s, 0.5), returning, request(6, 2, 3s) })
        cr_assert(waiting.add(instant(2s), each).outcome == waiting_requests::add_outcome::Added);
    for (const request_number expected : { 5, 4, 3, 2, 1 })
        cr_expect_eq(waiting.takeFirst(instant(2s), 1)->request, expected);
    cr_expect_not(waiting.takeFirst(instant(2s), 1).has_value());
    cr_expect_eq(waiting.count(2), 1U);
}

// Guards against a full queue that keeps urgent requests out, and against one that grows.
Test(waiting_requests, displace_the_weakest_when_full)
{
    waiting_requests waiting;
    for (request_number number = 1; number <= waiting_requests::maxRequests; ++number)
        waiting.add(instant(1s), request(number, 2, 5s + number * 1ms));
    cr_expect(waiting.add(instant(1s), request(100, 2, 9s)).outcome == waiting_requests::add_outcome::Full);
    const auto added = waiting.add(instant(1s), request(101, 0, 9s));
    cr_expect(added.outcome == waiting_requests::add_outcome::Added);
    cr_expect_eq(added.displaced.size(), 1U);
    cr_expect_eq(added.displaced.front(), waiting_requests::maxRequests);
    cr_expect_eq(waiting.size(), waiting_requests::maxRequests);
}

// Guards against memory that a few large requests take.
Test(waiting_requests, are_bounded_in_bytes)
{
    waiting_requests waiting;
    waiting_request large = request(1, 0, 5s);
    large.bytes = waiting_requests::maxBytes;
    cr_expect(waiting.add(instant(1s), large).outcome == waiting_requests::add_outcome::Added);
    cr_expect(waiting.add(instant(1s), request(2, 1, 5s)).outcome == waiting_requests::add_outcome::Full);
    cr_expect(waiting.remove(1));
    cr_expect_eq(waiting.bytes(), 0U);
}
