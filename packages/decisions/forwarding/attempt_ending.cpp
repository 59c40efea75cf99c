#include "decisions/forwarding/attempt_ending.h"

namespace appleramp {

run_proof proofOf(attempt_ending ending)
{
    switch (ending) {
    case attempt_ending::NotSent:
    case attempt_ending::Rejected:
    case attempt_ending::WrongEndpoint:
        return run_proof::NotRun;
    case attempt_ending::FailureAnswer:
    case attempt_ending::CutAnswer:
        return run_proof::HasRun;
    case attempt_ending::NoAnswer:
    case attempt_ending::ForeignAnswer:
    case attempt_ending::Silent:
        break;
    }
    return run_proof::MayHaveRun;
}

bool mayRepeat(const route& route, attempt_ending ending)
{
    return proofOf(ending) == run_proof::NotRun || route.repeatable();
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
    case attempt_ending::CutAnswer:
        return "cut_answer";
    case attempt_ending::ForeignAnswer:
        return "foreign_answer";
    case attempt_ending::FailureAnswer:
        return "failure_answer";
    case attempt_ending::Silent:
        break;
    }
    return "silent";
}

} // namespace appleramp
