#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

struct header_field {
    std::string name;
    std::string value;
};

// Header fields in the order of arrival. Names compare without regard to case.
class header_list {
public:
    void add(std::string_view name, std::string_view value);
    // Replaces every field of that name by one.
    void set(std::string_view name, std::string_view value);
    void remove(std::string_view name);
    // The first value, or an empty text.
    std::string_view get(std::string_view name) const;
    bool has(std::string_view name) const;
    // Drops what concerns one connection only: Connection, what it names, and the framing of the body.
    void removeHopByHop();

    const std::vector<header_field>& fields() const { return m_fields; }

private:
    std::vector<header_field> m_fields;
};

struct http_request_head {
    std::string method;
    std::string target;
    header_list headers;
    bool keepAlive = true;

    std::string_view path() const;
};

struct http_response_head {
    unsigned status = 0;
    std::string reason;
    header_list headers;
    bool keepAlive = true;
    // The body ends with the connection.
    bool endsWithConnection = false;
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

// The bytes of a request with a Content-Length that fits the body.
std::string serializeRequest(const http_request_head& head, std::string_view body);
// The head of a response; the caller adds the framing fields first.
std::string serializeResponseHead(const http_response_head& head);
// One chunk of a chunked body.
std::string serializeChunk(std::string_view bytes);

// The value of a parameter of the target's query, percent-decoded; empty if there is none.
std::string queryParameter(std::string_view target, std::string_view name);
std::string percentEncoded(std::string_view text);

} // namespace appleramp
