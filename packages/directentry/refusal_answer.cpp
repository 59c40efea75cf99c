#include "directentry/refusal_answer.h"

#include "decisions/forwarding/forwarding_effects.h"

#include <array>
#include <charconv>
#include <string>
#include <string_view>

namespace appleramp {

namespace {

constexpr double secondsPerMicrosecond = 1e-6;

unsigned statusOf(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::UnknownRoute:
        return 404;
    case refusal_reason::UnknownKey:
        return 401;
    case refusal_reason::OutcomeUnknown:
        return 502;
    case refusal_reason::TimedOut:
        return 504;
    default:
        return 503;
    }
}

std::string secondsText(duration time)
{
    std::array<char, 32> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
        static_cast<double>(time.count()) * secondsPerMicrosecond, std::chars_format::fixed, 3);
    return { digits.data(), end.ptr };
}

} // namespace

http_response refusalAnswer(const refuse_request& effect)
{
    http_response answer;
    answer.head.status = statusOf(effect.reason);
    answer.head.headers.add("Content-Type", "application/problem+json");
    const std::string_view execution = guaranteesNotExecuted(effect.reason) ? "not_run" : "unknown";
    answer.head.headers.add("Appleramp-Execution", execution);
    if (effect.retryAfter)
        answer.head.headers.add("Retry-After", secondsText(*effect.retryAfter));
    answer.body.append("{\"execution\":\"").append(execution).append("\",\"reason\":\"").append(nameOf(effect.reason)).append("\"}");
    return answer;
}

} // namespace appleramp
