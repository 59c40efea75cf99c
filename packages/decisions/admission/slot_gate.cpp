#include "decisions/admission/slot_gate.h"

#include <algorithm>
#include <cassert>

namespace appleramp {

slot_gate::slot_gate(slot_gate_limits limits)
    : m_limits(limits)
    , m_capacity(limits.coldSlots)
{
    assert(limits.coldSlots > 0 && limits.coldSlots <= limits.warmSlots);
}

void slot_gate::entryJoined(link_number link) { m_demands[link] = 0; }
void slot_gate::entryLeft(link_number link) { m_demands.erase(link); }

void slot_gate::demanded(link_number link, std::uint32_t wanted)
{
    const auto found = m_demands.find(link);
    if (found != m_demands.end())
        found->second = wanted;
}

void slot_gate::probed(const engine_probed& report)
{
    if (report.bootId != m_bootId)
        turnCold();
    m_bootId = report.bootId;
    m_healthy = report.healthy;
}

void slot_gate::completed()
{
    assert(m_running > 0);
    --m_running;
    ++m_completedSinceRaise;
    if (m_capacity >= m_limits.warmSlots || m_completedSinceRaise < m_capacity)
        return;
    m_capacity = std::min(m_capacity * 2, m_limits.warmSlots);
    m_completedSinceRaise = 0;
}

void slot_gate::failed()
{
    assert(m_running > 0);
    --m_running;
    turnCold();
}

std::map<link_number, slot_grant> slot_gate::grants()
{
    std::map<link_number, slot_grant> grants;
    if (m_demands.empty())
        return grants;
    const auto entries = static_cast<std::uint32_t>(m_demands.size());
    const auto each = openSlots() / entries;
    auto rest = openSlots() % entries;
    ++m_sequence;
    for (const auto& [link, demand] : m_demands)
        grants[link] = slot_grant { m_sequence, each, m_limits.grantLifetime, isCold(), {} };
    // What does not divide goes round, so that no entry is without a slot for good.
    auto next = std::next(grants.begin(), static_cast<std::ptrdiff_t>(m_rotation++ % entries));
    for (; rest > 0; --rest) {
        ++next->second.slots;
        ++next;
        if (next == grants.end())
            next = grants.begin();
    }
    return grants;
}

std::uint32_t slot_gate::openSlots() const { return m_closed || !m_healthy ? 0 : m_capacity; }

void slot_gate::turnCold()
{
    m_capacity = m_limits.coldSlots;
    m_completedSinceRaise = 0;
}

} // namespace appleramp
