#pragma once

#include "model/events.h"
#include "model/messages.h"

#include <cstdint>
#include <map>
#include <vector>

namespace appleramp {

struct slot_gate_limits {
    std::uint32_t warmSlots = 8;
    std::uint32_t coldSlots = 1;
    duration grantLifetime = std::chrono::seconds(2);
};

// Decides how much work the endpoint bears and which entry may bring it. An endpoint counts as cold until work has
// completed on time, and again on any sign of a new start. Works with agent_reducer, which reports what happens.
class slot_gate {
public:
    explicit slot_gate(slot_gate_limits limits);

    void entryJoined(link_number link);
    void entryLeft(link_number link);
    void demanded(link_number link, std::uint32_t wanted);

    // The endpoint's boot id and health as it reports them. A new boot id makes it cold.
    void probed(const engine_probed& report);
    // No grants at all while closed: the zone is out or the endpoint is leaving.
    void setClosed(bool closed) { m_closed = closed; }

    // True if one more attempt may start now; then started() must follow.
    bool admits() const { return m_running < openSlots(); }
    void started() { ++m_running; }
    void completed();
    // The endpoint refused work, timed out or crashed.
    void failed();

    std::uint32_t running() const { return m_running; }
    bool isCold() const { return m_capacity < m_limits.warmSlots; }
    std::uint32_t capacity() const { return m_capacity; }

    // The grant for every entry; their sum never passes the capacity.
    std::map<link_number, slot_grant> grants();

private:
    std::uint32_t openSlots() const;
    void turnCold();

    slot_gate_limits m_limits;
    std::uint32_t m_capacity;
    std::uint32_t m_running = 0;
    std::uint32_t m_completedSinceRaise = 0;
    std::string m_bootId;
    bool m_healthy = false;
    bool m_closed = false;
    std::map<link_number, std::uint32_t> m_demands;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_rotation = 0;
};

} // namespace appleramp
