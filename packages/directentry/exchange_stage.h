#pragma once

#include <string_view>

namespace appleramp {

enum class exchange_stage {
    // The request is at no endpoint.
    Waiting,
    // An endpoint has it, and the caller has got nothing of the answer.
    Sent,
    // Part of a streamed answer was sent to the caller.
    Begun,
};

std::string_view nameOf(exchange_stage stage);

} // namespace appleramp
