#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

// Splits a stream of server-sent events at event boundaries, so that only whole events are forwarded.
class event_splitter {
public:
    // Appends the bytes, and returns the events that are now complete as one string.
    std::string appendAndExtract(std::string_view bytes);
    // Discards the beginning of an event that will not be completed.
    void dropPartial() { m_partial.clear(); }
    bool hasPartial() const { return !m_partial.empty(); }
    std::size_t partialBytes() const { return m_partial.size(); }
    // The last id that a whole event carried, as written in the stream.
    const std::optional<std::string>& lastEventId() const { return m_lastEventId; }

private:
    void recordEventIds(std::string_view events);

    std::string m_partial;
    std::optional<std::string> m_lastEventId;
};

} // namespace appleramp
