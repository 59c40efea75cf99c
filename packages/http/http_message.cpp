#include "http/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

namespace appleramp {

namespace {

char toLower(char c)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

std::string_view trimWhitespace(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

std::vector<std::string> splitCommaList(std::string_view list)
{
    std::vector<std::string> elements;
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        elements.emplace_back(trimWhitespace(list.substr(0, comma)));
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return elements;
}

void appendFields(std::string& text, const header_list& headers)
{
    for (const header_field& field : headers.fields())
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    text.append("\r\n");
}

std::string percentDecoded(std::string_view text)
{
    std::string result;
    for (std::size_t position = 0; position < text.size(); ++position) {
        unsigned code = 0;
        const bool isEscape = text[position] == '%' && position + 2 < text.size();
        if (isEscape && std::from_chars(&text[position + 1], &text[position + 3], code, 16).ptr == &text[position + 3]) {
            result.push_back(static_cast<char>(code));
            position += 2;
            continue;
        }
        result.push_back(text[position] == '+' ? ' ' : text[position]);
    }
    return result;
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) { return toLower(a) == toLower(b); });
}

void header_list::add(std::string_view name, std::string_view value)
{
    m_fields.push_back({ std::string(name), std::string(value) });
}

void header_list::set(std::string_view name, std::string_view value)
{
    remove(name);
    add(name, value);
}

void header_list::remove(std::string_view name)
{
    std::erase_if(m_fields, [&](const header_field& field) { return equalsIgnoringCase(field.name, name); });
}

std::string_view header_list::get(std::string_view name) const
{
    const auto found = std::find_if(m_fields.begin(), m_fields.end(),
        [&](const header_field& field) { return equalsIgnoringCase(field.name, name); });
    return found == m_fields.end() ? std::string_view() : std::string_view(found->value);
}

bool header_list::has(std::string_view name) const
{
    return std::any_of(m_fields.begin(), m_fields.end(),
        [&](const header_field& field) { return equalsIgnoringCase(field.name, name); });
}

std::size_t header_list::heldBytes() const
{
    std::size_t bytes = 0;
    for (const header_field& field : m_fields)
        bytes += sizeof(header_field) + field.name.size() + field.value.size();
    return bytes;
}

void header_list::removeHopByHop()
{
    for (const std::string& fieldName : splitCommaList(get("Connection"))) {
        // Host is kept even if the client names it in Connection, since it identifies the target of the request.
        if (!equalsIgnoringCase(fieldName, "Host"))
            remove(fieldName);
    }
    static constexpr std::array<std::string_view, 10> hopByHop { "Connection", "Keep-Alive", "Proxy-Connection",
        "Transfer-Encoding", "Content-Length", "TE", "Trailer", "Upgrade", "Expect", "Proxy-Authorization" };
    for (const std::string_view name : hopByHop)
        remove(name);
}

std::string_view http_request_head::path() const
{
    return std::string_view(target).substr(0, std::min(target.find('?'), target.size()));
}

std::string_view reasonPhrase(unsigned status)
{
    static constexpr std::array<std::pair<unsigned, std::string_view>, 13> phrases { { { 200, "OK" },
        { 400, "Bad Request" }, { 401, "Unauthorized" }, { 403, "Forbidden" }, { 404, "Not Found" },
        { 405, "Method Not Allowed" }, { 408, "Request Timeout" }, { 413, "Content Too Large" },
        { 429, "Too Many Requests" }, { 431, "Request Header Fields Too Large" }, { 502, "Bad Gateway" },
        { 503, "Service Unavailable" }, { 504, "Gateway Timeout" } } };
    const auto found = std::find_if(phrases.begin(), phrases.end(), [&](const auto& entry) { return entry.first == status; });
    return found == phrases.end() ? std::string_view("Status") : found->second;
}

std::string serializeRequest(const http_request_head& head, std::string_view body)
{
    std::string text = serializeRequestHead(head, body.size());
    text.append(body);
    return text;
}

std::string serializeRequestHead(const http_request_head& head, std::size_t bodyBytes)
{
    std::string text;
    text.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    header_list headers = head.headers;
    if (bodyBytes > 0 || (head.method != "GET" && head.method != "HEAD"))
        headers.add("Content-Length", std::to_string(bodyBytes));
    appendFields(text, headers);
    return text;
}

std::string serializeResponseHead(const http_response_head& head)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + ' ';
    text.append(head.reason.empty() ? reasonPhrase(head.status) : std::string_view(head.reason)).append("\r\n");
    appendFields(text, head.headers);
    return text;
}

std::string serializeChunk(std::string_view bytes)
{
    std::array<char, 20> size {};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    std::string text(size.data(), end);
    text.append("\r\n").append(bytes).append("\r\n");
    return text;
}

std::string queryParameter(std::string_view target, std::string_view name)
{
    const auto questionMark = target.find('?');
    std::string_view query = questionMark == std::string_view::npos ? std::string_view() : target.substr(questionMark + 1);
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const std::string_view pair = query.substr(0, end);
        const auto equalsSign = std::min(pair.find('='), pair.size());
        if (percentDecoded(pair.substr(0, equalsSign)) == name)
            return percentDecoded(pair.substr(std::min(equalsSign + 1, pair.size())));
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

std::string percentEncoded(std::string_view text)
{
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto code = static_cast<unsigned char>(c);
        if (std::isalnum(code) != 0 || std::string_view("-._~").find(c) != std::string_view::npos) {
            result.push_back(c);
            continue;
        }
        result.push_back('%');
        result.push_back(digits[code >> 4U]);
        result.push_back(digits[code & 15U]);
    }
    return result;
}

} // namespace appleramp
