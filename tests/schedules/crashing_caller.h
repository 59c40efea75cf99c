#pragma once

#include "schedules/schedule_world.h"

#include <optional>
#include <string>

namespace appleramp::tests {

// A caller that repeatedly sends, through random entries, a request that crashes each endpoint that runs it. Checks
// that the request runs nowhere once it has been refused for its content and that refusal had time to spread, and that
// it crashes no more endpoints than allowed.
class crashing_caller {
public:
    explicit crashing_caller(schedule_world& world);

    // Starts sending; the number of sends is bounded. Later calls have no effect.
    void start();

private:
    void send(int tries);
    void handleReply(const entry_effect& piece, int tries);
    void checkExecution(std::size_t agent);

    schedule_world& m_world;
    bool m_started = false;
    int m_crashes = 0;
    std::optional<instant> m_refusedAt;
};

} // namespace appleramp::tests
