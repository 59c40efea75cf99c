#pragma once

#include "model/response_defect.h"

#include <string_view>
#include <variant>

namespace appleramp {

struct http_response_head;

// The head of the response to the request.
struct final_head { };

// A head before that of the response, which says nothing that its reader needs.
struct interim_head { };

struct invalid_head {
    response_defect defect = response_defect::None;
};

using response_head_classification = std::variant<final_head, interim_head, invalid_head>;

// What the head of a response is, for every reader of responses. No request asks for an upgrade or allows a transfer coding
// beside chunks.
response_head_classification classifyResponseHead(const http_response_head& head);

// True if a line behind the first one of a head begins with a blank. RFC 9112 (5.2) lets a gateway reject such a response. The
// text is what was received from the beginning of the head, or of a later line of it, and may go on behind its end.
bool hasFoldedField(std::string_view text, bool beginsAtLaterLine);

} // namespace appleramp
