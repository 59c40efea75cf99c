#include "decisions/forwarding/event_splitter.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr std::string_view idField = "id:";

// Behind the last blank line, or 0. Lines end with LF or CRLF.
std::size_t endOfWholeEvents(std::string_view text)
{
    const auto plain = text.rfind("\n\n");
    const auto carriage = text.rfind("\n\r\n");
    const std::size_t plainEnd = plain == std::string_view::npos ? 0 : plain + 2;
    const std::size_t carriageEnd = carriage == std::string_view::npos ? 0 : carriage + 3;
    return std::max(plainEnd, carriageEnd);
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

std::string event_splitter::take(std::string_view bytes)
{
    m_partial += bytes;
    const std::size_t end = endOfWholeEvents(m_partial);
    std::string whole = m_partial.substr(0, end);
    m_partial.erase(0, end);
    noteIds(whole);
    return whole;
}

void event_splitter::noteIds(std::string_view events)
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
