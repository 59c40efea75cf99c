#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

// Cuts a stream of server-sent events at event boundaries, so that only whole events go on.
class event_splitter {
public:
    // Returns the whole events that are now there, in one piece.
    std::string take(std::string_view bytes);
    // Drops what came of an event that will not be completed.
    void dropPartial() { m_partial.clear(); }
    bool hasPartial() const { return !m_partial.empty(); }
    // The id of the last whole event, as it stood in the stream.
    const std::optional<std::string>& lastEventId() const { return m_lastEventId; }

private:
    void noteIds(std::string_view events);

    std::string m_partial;
    std::optional<std::string> m_lastEventId;
};

} // namespace appleramp
