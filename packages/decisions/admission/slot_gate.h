#pragma once

#include "decisions/admission/first_token_monitor.h"
#include "model/events.h"
#include "model/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace appleramp {

struct slot_gate_limits {
    std::uint32_t warmSlots = 8;
    std::uint32_t coldSlots = 1;
    duration grantLifetime = std::chrono::seconds(2);
    // Completions on time at `coldSlots` before the first raise.
    std::uint32_t warmAfter = 8;
};

// A grant and the link that it goes to.
struct addressed_grant {
    link_number link = 0;
    slot_grant grant;
};

// Decides how much work the endpoint bears and which entry may bring it. An endpoint counts as cold until work has
// completed on time, and again on any sign of a new start. A slot goes to another entry only when it is proven idle:
// its holder has acknowledged a smaller grant, or the grant's lifetime has passed, and no attempt runs in it. Works
// with agent_reducer and attempt_runner, which report what happens.
class slot_gate {
public:
    explicit slot_gate(slot_gate_limits limits);

    void entryJoined(link_number link, instant now);
    // The entry's idle slots are free at once: whatever it still sends comes on another link.
    void entryLeft(link_number link);
    void demanded(link_number link, const slot_demand& demand, instant now);

    // The endpoint's boot id, health and load as it reports them. A new boot id makes it cold. Nothing is admitted while
    // work of an earlier agent runs there.
    void probed(const engine_probed& report);
    // No new work at all while closed: the zone is out or the endpoint is leaving. An endpoint that is opened again is
    // cold.
    void setClosed(bool closed);
    // No new work while held back, but the endpoint stays as warm as it is.
    void setHeldBack(bool heldBack) { set(m_heldBack, heldBack); }

    // True if one more attempt of this entry may start now; then started() must follow.
    bool admits(link_number link, instant now) const;
    // True if an attempt may start that must run alone.
    bool admitsAlone() const { return m_running.empty() && openSlots() > 0; }
    // While set, nothing is admitted and nothing granted: an attempt waits to run alone, or does.
    void setReserved(bool reserved) { set(m_reserved, reserved); }

    bool isReserved() const { return m_reserved; }

    void started(call_number call, link_number link, instant now);
    // The first byte of the call's answer came.
    void firstToken(call_number call, instant now);
    // The call's entry now uses another link.
    void moved(call_number call, link_number link);
    void completed(call_number call);
    void cancelled(call_number call);
    // The endpoint refused work, timed out or crashed.
    void failed(call_number call);
    // Finds signs of a cold endpoint in calls that wait for their first token.
    void checkWaiting(instant now);

    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    bool isCold() const { return m_capacity < m_limits.warmSlots; }
    std::uint32_t capacity() const { return m_capacity; }
    std::uint32_t openSlots() const;
    // Slots that are granted or run; never more than the capacity but for grants that were cut and may still be used.
    std::uint32_t heldSlots(instant now) const;

    // Grants that have changed or are due to be renewed.
    std::vector<addressed_grant> takeGrants(instant now);

private:
    struct superseded_grant {
        std::uint64_t sequence = 0;
        std::uint32_t slots = 0;
        instant ends;
    };
    struct entry_share {
        slot_demand demand;
        instant heard;
        std::uint64_t sequence = 0;
        std::uint32_t granted = 0;
        instant ends;
        instant renewAt;
        // Larger grants that the entry may not yet know to be cut.
        std::vector<superseded_grant> superseded;
        std::uint32_t running = 0;
        // Rises with each growth: who grew longest ago goes first.
        std::uint64_t lastGrowth = 0;
        // Until then a slot that was just granted stays although others wait: its use is on the way.
        instant keepsUntil;
        std::uint32_t target = 0;
    };
    struct running_call {
        link_number link = 0;
        instant started;
        bool answered = false;
        bool late = false;
    };

    void set(bool& flag, bool value);
    bool mustReview(instant now);
    std::uint32_t grantable() const { return m_reserved ? 0 : openSlots(); }
    std::uint32_t held(const entry_share& share, instant now) const;
    void settle(instant now);
    void setTargets(instant now);
    void fillTargets(std::uint32_t& left, std::uint32_t slot_demand::*wish, instant now);
    bool comesBefore(const entry_share& one, const entry_share& other, instant now) const;
    bool isSilent(const entry_share& share, instant now) const;
    void replaceGrant(entry_share& share, std::uint32_t slots, instant now);
    void cutGrants(instant now);
    void growGrants(instant now);
    std::optional<running_call> remove(call_number call);
    void countOnTime();
    std::uint32_t completionsToRaise() const;
    void turnCold();

    slot_gate_limits m_limits;
    std::uint32_t m_capacity;
    // What the endpoint itself says that it bears; zero if it has not said.
    std::uint32_t m_reported = 0;
    // Requests that another agent, before this one, gave the endpoint and that still run there.
    std::uint32_t m_foreign = 0;
    bool m_reportSeen = false;
    std::uint32_t m_completedSinceRaise = 0;
    std::string m_bootId;
    bool m_healthy = false;
    bool m_closed = false;
    bool m_heldBack = false;
    // Something has changed since the grants were last reviewed.
    bool m_changed = false;
    instant m_nextReview;
    bool m_reserved = false;
    std::map<link_number, entry_share> m_entries;
    std::map<call_number, running_call> m_running;
    first_token_monitor m_firstTokens;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_growths = 0;
};

} // namespace appleramp
