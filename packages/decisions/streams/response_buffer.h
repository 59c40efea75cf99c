#pragma once

#include "model/messages.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace appleramp {

// Stores the response frames that the agent has sent for one attempt, so that they can be sent again from any frame on.
class response_buffer {
public:
    explicit response_buffer(attempt_id attempt);

    response_head addHead(std::uint16_t status, std::vector<http_header> headers);
    response_body addBody(std::string data);
    response_end finish();

    bool hasHead() const { return m_head.has_value(); }
    bool isFinished() const { return m_end.has_value(); }
    // Returns all stored frames from this frame number on, followed by the end frame if the response is finished.
    std::vector<link_message> framesFrom(std::uint64_t frame) const;
    // Size of all stored bodies, without the headers.
    std::size_t bodyBytes() const { return m_bytes; }

private:
    attempt_id m_attempt;
    std::optional<response_head> m_head;
    std::vector<std::string> m_bodies;
    std::optional<response_end> m_end;
    std::size_t m_bytes = 0;
};

} // namespace appleramp
