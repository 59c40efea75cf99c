#include "directentry/refusal_answer.h"

#include "decisions/forwarding/forwarding_effects.h"
#include "platform/header_codec.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::users_platform;
using namespace std::chrono_literals;

// Guards against an answer of our own whose status promises "not executed" for a request that may have been, and against one that keeps
// callers from a retry by leaving the promise out.
Test(refusal_answer, the_status_promises_what_the_reason_guarantees)
{
    for (int value = 0; value <= static_cast<int>(refusal_reason::NoMemory); ++value) {
        const auto reason = static_cast<refusal_reason>(value);
        const http_response answer = refusalAnswer({ 1, reason, 1s });
        const bool isDefinite = reason == refusal_reason::UnknownRoute || reason == refusal_reason::UnknownKey;
        cr_assert_eq(promisesNotExecuted(answer.head.status), guaranteesNotExecuted(reason) && !isDefinite, "%d", value);
        cr_assert_eq(answer.head.headers.get("Appleramp-Execution") == "not_run", guaranteesNotExecuted(reason), "%d", value);
        cr_assert_not(answer.head.headers.has("X-Response-Stamp"));
    }
}
