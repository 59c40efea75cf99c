#pragma once

#include "model/messages.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace appleramp {

// The frames of one attempt's answer as the agent sent them, kept so that they can be sent again from any frame on.
class answer_buffer {
public:
    explicit answer_buffer(attempt_id attempt);

    response_head addHead(std::uint16_t status, std::vector<http_header> headers);
    response_body addBody(std::string data);
    response_end finish();

    bool hasHead() const { return m_head.has_value(); }
    bool isFinished() const { return m_end.has_value(); }
    // Everything from this frame on, and the end if the answer has ended.
    std::vector<link_message> from(std::uint64_t frame) const;
    std::size_t bytes() const { return m_bytes; }

private:
    attempt_id m_attempt;
    std::optional<response_head> m_head;
    std::vector<std::string> m_bodies;
    std::optional<response_end> m_end;
    std::size_t m_bytes = 0;
};

} // namespace appleramp
