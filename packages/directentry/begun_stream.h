#pragma once

#include "http/http_message.h"

#include <string>
#include <string_view>

namespace appleramp {

// What a caller has been told of a stream, which only an answer of the same kind can continue.
class begun_stream {
public:
    explicit begun_stream(const http_response_head& head)
        : m_status(head.status)
        , m_contentType(head.headers.get(contentTypeHeader))
    {
    }

    bool mayContinueWith(const http_response_head& head) const
    {
        return head.status == m_status && head.headers.get(contentTypeHeader) == m_contentType;
    }

private:
    static constexpr std::string_view contentTypeHeader = "Content-Type";

    unsigned m_status;
    std::string m_contentType;
};

} // namespace appleramp
