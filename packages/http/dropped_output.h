#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace appleramp {

enum class output_loss {
    // The caller sent no further request within the idle timeout, and had not read the answer.
    Idle,
    // The caller reads too slowly for the buffer.
    Overflow,
    // The caller closed or reset the connection, or acknowledges nothing.
    PeerGone,
};

std::string_view nameOf(output_loss cause);

// A connection that was closed with part of an answer unsent.
struct dropped_output {
    // As set by server_connection::identifyAnswer.
    std::string answerId;
    output_loss cause = output_loss::PeerGone;
    std::size_t bytes = 0;
};

} // namespace appleramp
