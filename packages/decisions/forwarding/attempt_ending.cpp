#include "decisions/forwarding/attempt_ending.h"

namespace appleramp {

execution_status executionStatusAfter(attempt_ending ending)
{
    switch (ending) {
    case attempt_ending::NotSent:
    case attempt_ending::Rejected:
    case attempt_ending::WrongEndpoint:
        return execution_status::NotRun;
    case attempt_ending::FailureAnswer:
    case attempt_ending::TruncatedAnswer:
        return execution_status::HasRun;
    case attempt_ending::NoAnswer:
    case attempt_ending::InvalidAnswer:
    case attempt_ending::UnprovenRefusal:
    case attempt_ending::TimedOut:
        break;
    }
    return execution_status::MayHaveRun;
}

bool mayRetry(const route& route, attempt_ending ending)
{
    return executionStatusAfter(ending) == execution_status::NotRun || route.repeatable();
}

std::string_view nameOf(attempt_ending ending)
{
    switch (ending) {
    case attempt_ending::NotSent:
        return "not_sent";
    case attempt_ending::Rejected:
        return "rejected";
    case attempt_ending::WrongEndpoint:
        return "wrong_endpoint";
    case attempt_ending::NoAnswer:
        return "no_answer";
    case attempt_ending::TruncatedAnswer:
        return "cut_answer";
    case attempt_ending::InvalidAnswer:
        return "foreign_answer";
    case attempt_ending::FailureAnswer:
        return "failure_answer";
    case attempt_ending::UnprovenRefusal:
        return "unproven_refusal";
    case attempt_ending::TimedOut:
        break;
    }
    return "silent";
}

} // namespace appleramp
