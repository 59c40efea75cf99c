#include "schedules/slot_watch.h"

namespace appleramp::tests {

slot_watch::slot_watch(schedule_world& world)
    : m_world(world)
{
    world.afterEach([this] { check(); });
}

void slot_watch::check()
{
    for (std::size_t agent = 0; agent < m_world.agents(); ++agent) {
        const auto& gate = m_world.agentReducer(agent).gate();
        const auto held = gate.heldSlots(m_world.queue().now());
        // While an attempt runs alone, grants admit nothing. A capacity that fell leaves cut grants behind; what is held
        // may only fall then.
        if (!gate.isExclusive() && held > gate.capacity() && held > m_held[agent])
            m_world.broken().record("granted_too_much", m_world.agentAddress(agent));
        m_held[agent] = held;
    }
}

} // namespace appleramp::tests
