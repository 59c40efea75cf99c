#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

struct header_field {
    std::string name;
    std::string value;
};

// Header fields in the order of arrival. Names are case-insensitive.
class header_list {
public:
    void add(std::string_view name, std::string_view value);
    // Removes all fields with this name and appends one with the given value.
    void set(std::string_view name, std::string_view value);
    void remove(std::string_view name);
    // The first value with this name, or an empty string if there is none.
    std::string_view get(std::string_view name) const;
    bool has(std::string_view name) const;
    // Removes the fields that a proxy must not forward: the hop-by-hop fields, the fields that Connection names, and the
    // framing of the body.
    void removeHopByHop();

    const std::vector<header_field>& fields() const { return m_fields; }
    // Memory that the fields take.
    std::size_t heldBytes() const;

private:
    std::vector<header_field> m_fields;
};

struct http_request_head {
    std::string method;
    std::string target;
    header_list headers;
    bool keepAlive = true;

    // The target without its query.
    std::string_view path() const;
};

struct http_response_head {
    unsigned status = 0;
    std::string reason;
    header_list headers;
    bool keepAlive = true;
    // 10 for HTTP/1.0, 11 for HTTP/1.1.
    int version = 11;
    // The body has no length or chunked framing: it ends when the server closes the connection.
    bool bodyEndsAtClose = false;
};

struct http_request {
    http_request_head head;
    std::string body;
};

struct http_response {
    http_response_head head;
    std::string body;
};

bool equalsIgnoringCase(std::string_view left, std::string_view right);
std::string_view reasonPhrase(unsigned status);

// Serializes a request. Adds a Content-Length for the body; GET and HEAD without a body get none.
std::string serializeRequest(const http_request_head& head, std::string_view body);
// The same without the body, which the caller sends behind it.
std::string serializeRequestHead(const http_request_head& head, std::size_t bodyBytes);
// Serializes the head of a response. The caller must have added the framing fields (Content-Length or
// Transfer-Encoding).
std::string serializeResponseHead(const http_response_head& head);
// Serializes one chunk of a body with chunked transfer encoding.
std::string serializeChunk(std::string_view bytes);

// The percent-decoded value of a query parameter of the request target; empty if there is none.
std::string queryParameter(std::string_view target, std::string_view name);
// Encodes everything but letters, digits and "-._~".
std::string percentEncoded(std::string_view text);

} // namespace appleramp
