#pragma once

#include <string_view>

namespace appleramp {

// Why what came from a server is not passed on as an answer.
enum class response_defect {
    None,
    // The status claims that the request was not executed, and nothing else in the answer states it.
    UnprovenRefusal,
    // The answer belongs to another request.
    OtherRequest,
    // The answer does not say to which request it belongs.
    NoRequestId,
    // There is no room for the answer, or it is larger than any may be.
    TooLarge,
};

// Stable names for logs and metrics.
constexpr std::string_view nameOf(response_defect defect)
{
    switch (defect) {
    case response_defect::None:
        break;
    case response_defect::UnprovenRefusal:
        return "unproven_refusal";
    case response_defect::OtherRequest:
        return "other_request";
    case response_defect::NoRequestId:
        return "no_request_id";
    case response_defect::TooLarge:
        return "too_large";
    }
    return "";
}

} // namespace appleramp
