#pragma once

#include "schedules/schedule_world.h"

#include <map>

namespace appleramp::tests {

// Checks after each event that no agent's endpoint runs more than its gate ever allowed, and that slots which are
// granted or run never grow past the capacity.
class slot_watch {
public:
    explicit slot_watch(schedule_world& world);

private:
    void check();

    schedule_world& m_world;
    std::map<std::size_t, std::uint32_t> m_held;
};

} // namespace appleramp::tests
