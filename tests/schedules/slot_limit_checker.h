#pragma once

#include "schedules/schedule_world.h"

#include <map>

namespace appleramp::tests {

// Checks after each event that the slots that an agent has granted or that are running do not grow beyond its capacity.
class slot_limit_checker {
public:
    explicit slot_limit_checker(schedule_world& world);

private:
    void check();

    schedule_world& m_world;
    std::map<std::size_t, std::uint32_t> m_lastHeldSlots;
};

} // namespace appleramp::tests
