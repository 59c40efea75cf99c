#pragma once

#include "model/time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace appleramp {

// Detects a time to first token far above the recent median, a sign that the endpoint has become cold. Used by slot_gate.
class first_token_monitor {
public:
    // Adds a sample. The caller leaves out late ones, so that a cold endpoint does not raise the median that it is compared
    // with.
    void add(duration firstToken);
    bool isLate(duration firstToken) const;
    void clear() { m_recent.clear(); }

private:
    std::optional<duration> median() const;

    std::deque<duration> m_recent;
};

} // namespace appleramp
