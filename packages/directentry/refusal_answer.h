#pragma once

#include "http/http_message.h"

namespace appleramp {

struct refuse_request;

// What a caller gets whose request is not forwarded, or has no answer: the status, whether the request may have run, the reason, and when to
// come back.
http_response refusalAnswer(const refuse_request& effect);

} // namespace appleramp
