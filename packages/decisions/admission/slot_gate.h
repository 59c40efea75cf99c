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
    // Timely completions at `coldSlots` before the capacity is raised for the first time.
    std::uint32_t warmAfter = 8;
};

// A grant and the link to send it on.
struct addressed_grant {
    link_number link = 0;
    slot_grant grant;
};

// Limits the concurrency of one endpoint and divides its slots among the entries. An endpoint counts as cold until enough
// requests have completed on time, and again on any sign of a restart. A slot is granted to another entry only when it is
// known to be idle: its holder has acknowledged a smaller grant, or the grant has expired, and no attempt runs in it.
// agent_reducer and attempt_runner report the events.
class slot_gate {
public:
    explicit slot_gate(slot_gate_limits limits);

    void addEntry(link_number link, instant now);
    // Frees the entry's idle slots at once: anything that it still sends arrives on another link.
    void removeEntry(link_number link);
    void updateDemand(link_number link, const slot_demand& demand, instant now);

    // Takes the endpoint's own report of boot id, health and load. A new boot id makes the endpoint cold, as does a
    // reported capacity below the present one. Nothing is admitted while requests of an earlier agent still run there.
    void updateEndpointReport(const engine_probed& report);
    // While closed, no new requests are admitted: the zone is out of service or the endpoint is draining. An endpoint is
    // cold when it is reopened.
    void setClosed(bool closed);
    // Pauses admission as setClosed() does, but the endpoint does not become cold.
    void setPaused(bool paused) { setFlag(m_paused, paused); }

    // True if one more attempt of this entry may start now. The caller that starts it must call callStarted().
    bool admits(link_number link, instant now) const;
    // True if an attempt may start that must run without others: nothing is running and a slot is open.
    bool admitsExclusive() const { return m_running.empty() && openSlots() > 0; }
    // While set, no attempt is admitted and no slot is granted, because an attempt runs alone or waits to do so.
    void setExclusive(bool exclusive) { setFlag(m_exclusive, exclusive); }

    bool isExclusive() const { return m_exclusive; }

    void callStarted(call_number call, link_number link, instant now);
    // Called when the first byte of the response has arrived.
    void firstTokenArrived(call_number call, instant now);
    // Called when the call's entry has resumed it on another link.
    void changeLink(call_number call, link_number link);
    void callCompleted(call_number call);
    void callCancelled(call_number call);
    // Called when the endpoint refused the request, timed out or crashed; makes the endpoint cold.
    void callFailed(call_number call);
    // Makes the endpoint cold if a call has waited too long for its first token.
    void detectLateFirstTokens(instant now);

    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    bool isCold() const { return m_capacity < m_limits.warmSlots; }
    std::uint32_t capacity() const { return m_capacity; }
    std::uint32_t openSlots() const;
    // Slots that are granted or in use. Exceeds the capacity only by reduced grants that entries may still be using.
    std::uint32_t heldSlots(instant now) const;

    // Recomputes the grants and returns those that have changed or are due for renewal.
    std::vector<addressed_grant> updateGrants(instant now);

private:
    struct superseded_grant {
        std::uint64_t sequence = 0;
        std::uint32_t slots = 0;
        instant expiresAt;
    };
    struct entry_state {
        slot_demand demand;
        instant lastDemandAt;
        std::uint64_t sequence = 0;
        std::uint32_t grantedSlots = 0;
        instant grantExpiresAt;
        instant renewAt;
        // Earlier, larger grants whose reduction the entry has not acknowledged yet.
        std::vector<superseded_grant> superseded;
        std::uint32_t running = 0;
        // Sequence number of the last increase of the grant; entries with the oldest increase are served first.
        std::uint64_t lastIncrease = 0;
        // Until then a newly granted slot is not reassigned although others wait, because a request for it may be on its
        // way.
        instant protectedUntil;
        std::uint32_t targetSlots = 0;
    };
    struct running_call {
        link_number link = 0;
        instant started;
        bool firstTokenReceived = false;
        bool late = false;
    };

    void setFlag(bool& flag, bool value);
    bool beginReviewIfDue(instant now);
    std::uint32_t grantableSlots() const { return m_exclusive ? 0 : openSlots(); }
    std::uint32_t slotsHeldBy(const entry_state& entry, instant now) const;
    void dropExpiredGrants(instant now);
    void setTargets(instant now);
    void distributeSlots(std::uint32_t& freeSlots, std::uint32_t slot_demand::*demandKind, instant now);
    bool hasPrecedence(const entry_state& one, const entry_state& other, instant now) const;
    bool isSilent(const entry_state& entry, instant now) const;
    void replaceGrant(entry_state& entry, std::uint32_t slots, instant now);
    void shrinkGrants(instant now);
    void growGrants(instant now);
    std::optional<running_call> removeCall(call_number call);
    void countTimelyCompletion();
    std::uint32_t completionsForNextRaise() const;
    void resetToCold();

    slot_gate_limits m_limits;
    std::uint32_t m_capacity;
    // The capacity that the endpoint reports; zero if it reports none.
    std::uint32_t m_reportedCapacity = 0;
    // Requests that an earlier agent sent to the endpoint and that still run there.
    std::uint32_t m_inheritedRequests = 0;
    bool m_hasReport = false;
    std::uint32_t m_completedSinceRaise = 0;
    std::string m_bootId;
    bool m_healthy = false;
    bool m_closed = false;
    bool m_paused = false;
    bool m_changedSinceReview = false;
    instant m_nextReview;
    bool m_exclusive = false;
    std::map<link_number, entry_state> m_entries;
    std::map<call_number, running_call> m_running;
    first_token_monitor m_firstTokenMonitor;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_increaseCount = 0;
};

} // namespace appleramp
