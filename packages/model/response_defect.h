#pragma once

#include <string_view>

namespace appleramp {

// Why what came from a server is not passed on as an answer.
enum class response_defect {
    None,
    // The bytes are not valid HTTP.
    Syntax,
    // Not one of the statuses 100 to 599.
    Status,
    // The server switches to another protocol, which no request asks for.
    Upgrade,
    // More interim responses than a server in order sends.
    InterimResponses,
    // A line begins with a blank, so that readers disagree on whether it is a field or belongs to the one before it.
    FoldedField,
    // The body is coded otherwise than in chunks, which no request allows.
    TransferCoding,
    // The status claims that the request was not executed, and nothing else in the answer states it.
    UnprovenRefusal,
    // The answer belongs to another request.
    OtherRequest,
    // The answer does not say to which request it belongs.
    NoRequestId,
    // A success without the endpoint's signature, or an answer with several.
    Signature,
    // The body is encoded, so that it is not the endpoint's own.
    EncodedBody,
    // There is no room for the answer, or it is larger than any may be.
    TooLarge,
};

// Stable names for logs and metrics.
constexpr std::string_view nameOf(response_defect defect)
{
    switch (defect) {
    case response_defect::None:
        break;
    case response_defect::Syntax:
        return "syntax";
    case response_defect::Status:
        return "status";
    case response_defect::Upgrade:
        return "upgrade";
    case response_defect::InterimResponses:
        return "interim_responses";
    case response_defect::FoldedField:
        return "folded_field";
    case response_defect::TransferCoding:
        return "transfer_coding";
    case response_defect::UnprovenRefusal:
        return "unproven_refusal";
    case response_defect::OtherRequest:
        return "other_request";
    case response_defect::NoRequestId:
        return "no_request_id";
    case response_defect::Signature:
        return "signature";
    case response_defect::EncodedBody:
        return "encoded_body";
    case response_defect::TooLarge:
        return "too_large";
    }
    return "";
}

} // namespace appleramp
