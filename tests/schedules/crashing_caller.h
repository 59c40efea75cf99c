#pragma once

#include "schedules/schedule_world.h"

#include <optional>
#include <string>

namespace appleramp::tests {

// A caller whose request crashes each endpoint that runs it, and who sends it again and again through any entry. Checks
// that it is refused in the end, that it runs nowhere after that, and that it has not crashed more than it may.
class crashing_caller {
public:
    explicit crashing_caller(schedule_world& world);

    // Sends the request until it is refused for its content, a bounded number of times.
    void begin();

private:
    void send(int tries);
    void answered(const entry_effect& piece, int tries);
    void ran(std::size_t agent);

    schedule_world& m_world;
    bool m_begun = false;
    int m_crashes = 0;
    std::optional<instant> m_refusedAt;
};

} // namespace appleramp::tests
