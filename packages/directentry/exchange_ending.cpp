#include "directentry/exchange_ending.h"

namespace appleramp {

attempt_ending endingAfter(exchange_failure failure)
{
    switch (failure) {
    case exchange_failure::ConnectRefused:
    case exchange_failure::ConnectTimedOut:
    case exchange_failure::ConnectFailed:
    case exchange_failure::ClosedBeforeSend:
        return attempt_ending::NotSent;
    case exchange_failure::ClosedInAnswer:
        return attempt_ending::TruncatedAnswer;
    case exchange_failure::Malformed:
        return attempt_ending::InvalidAnswer;
    case exchange_failure::ClosedBeforeAnswer:
        break;
    }
    return attempt_ending::NoAnswer;
}

} // namespace appleramp
