#include "schedules/slot_limit_checker.h"

namespace appleramp::tests {

slot_limit_checker::slot_limit_checker(schedule_world& world)
    : m_world(world)
{
    world.setAfterEvent([this] { check(); });
}

void slot_limit_checker::check()
{
    for (std::size_t agent = 0; agent < m_world.agents(); ++agent) {
        const auto& gate = m_world.agentReducer(agent).gate();
        const auto held = gate.heldSlots(m_world.queue().now());
        // While an attempt runs alone, grants admit nothing and are not checked. After the capacity fell, slots granted
        // before may still be held above it, but their number may only decrease.
        if (!gate.isExclusive() && held > gate.capacity() && held > m_lastHeldSlots[agent])
            m_world.broken().record("granted_too_much", m_world.agentAddress(agent));
        m_lastHeldSlots[agent] = held;
    }
}

} // namespace appleramp::tests
