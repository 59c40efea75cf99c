#include "decisions/forwarding/event_splitter.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr std::string_view idField = "id:";

// Returns the offset after the last blank line, or 0 if there is none. Lines end with LF or CRLF.
std::size_t endOfWholeEvents(std::string_view text)
{
    const auto blankLineLf = text.rfind("\n\n");
    const auto blankLineCrlf = text.rfind("\n\r\n");
    const std::size_t lfEnd = blankLineLf == std::string_view::npos ? 0 : blankLineLf + 2;
    const std::size_t crlfEnd = blankLineCrlf == std::string_view::npos ? 0 : blankLineCrlf + 3;
    return std::max(lfEnd, crlfEnd);
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    while (!text.empty() && text.back() == '\r')
        text.remove_suffix(1);
    return text;
}

} // namespace

std::string event_splitter::appendAndExtract(std::string_view bytes)
{
    m_partial += bytes;
    const std::size_t end = endOfWholeEvents(m_partial);
    std::string whole = m_partial.substr(0, end);
    m_partial.erase(0, end);
    recordEventIds(whole);
    return whole;
}

void event_splitter::recordEventIds(std::string_view events)
{
    while (!events.empty()) {
        const auto end = std::min(events.find('\n'), events.size());
        const std::string_view line = events.substr(0, end);
        if (line.starts_with(idField))
            m_lastEventId = std::string(trimmed(line.substr(idField.size())));
        events.remove_prefix(std::min(end + 1, events.size()));
    }
}

} // namespace appleramp
