#pragma once

#include "model/time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace appleramp {

// Judges whether a time to first token is far above its recent median, which is a sign that the endpoint has turned
// cold. Works with slot_gate.
class first_token_monitor {
public:
    // Adds a time that was not late, so that a cold endpoint does not become its own measure.
    void add(duration firstToken);
    bool isLate(duration firstToken) const;
    void clear() { m_recent.clear(); }

private:
    std::optional<duration> median() const;

    std::deque<duration> m_recent;
};

} // namespace appleramp
