#pragma once

#include "decisions/groups/group_messages.h"
#include "decisions/groups/map_switch.h"
#include "decisions/groups/rank_state.h"
#include "decisions/groups/switch_coordinator.h"
#include "model/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace appleramp {

// The agent of the held rank in a switch with a single hold.
//
// The coordinator, on another instance, gives the hold. This agent sees it in a reading of its engine, asks every agent
// whether its rank can arm, and permits all to arm once all have answered: until then no rank can be armed, and the hold
// is released at once if one does not answer. From the permission on, the hold is released only when every rank is armed with
// the same map, or when no rank is armed and none ever will be. A pass is permitted once at most in the life of this process.
//
// A hold that is there at the first reading was possibly used by the predecessor of this process. It is released by the
// same rule.
class hold_keeper {
public:
    enum class phase {
        None,
        // The rank is held and no agent has been asked yet.
        Held,
        Asking,
        Permitted,
        // The predecessor may have permitted the pass.
        Resolving,
        // Some rank never will be armed; the others have to become so.
        Aborting,
        // The hold protects nothing.
        Releasable,
    };

    // A reading of this rank's engine.
    void recordReading(instant now, const rank_state& state, const map_switch& rank);
    // A coordinator names this rank as the holder.
    void recordRequest(const switch_request& request);
    void recordReadiness(const arm_readiness& answer);
    void recordStatus(instant now, const rank_status& status);
    // A reading of the engine of a rank whose agent is silent.
    void recordSilentRankState(const rank_state& state);
    void recordOutcome(const switch_outcome& outcome);
    // Ends a switch that is not permitted yet.
    void abandon();

    // Returns the messages that are due.
    std::vector<outgoing_message> advance(instant now, const rank_state& state, map_switch& rank);
    // Returns the ranks whose engines are to be read, as their agents are silent.
    std::vector<std::uint32_t> takeSilentRanks();
    std::vector<coordinator_log_event> takeLogEvents();
    // The pass before which this rank is held needlessly.
    std::optional<pass_number> releasablePass() const;
    phase currentPhase() const { return m_phase; }
    void addTo(state_fingerprint& print) const;

private:
    void enterPhase(phase next);
    void beginHold(instant now, const rank_state& state, const map_switch& rank);
    void askIfRequested(const rank_state& state, const map_switch& rank);
    bool allArmed() const;
    void decide(std::vector<outgoing_message>& out);
    void noteConflictingArms();
    void resend(instant now, std::vector<outgoing_message>& out);
    void readSilentRanks(instant now);
    void logEvent(std::string what);

    phase m_phase = phase::None;
    group_epoch m_epoch = 0;
    std::uint32_t m_rank = 0;
    std::uint32_t m_ranks = 0;
    bool m_hasReading = false;
    // The latest requests that name this rank as the holder.
    std::vector<switch_id> m_requests;
    // The switch that the hold is for; version 0 if it is not known.
    switch_id m_name;
    std::optional<pass_number> m_heldPass;
    instant m_heldAt;
    std::optional<instant> m_phaseEnteredAt;
    std::optional<instant> m_sentAt;
    // No pass up to this one is permitted any more.
    pass_number m_usedPass = 0;
    // This rank is to decline the pass of an abandoned switch.
    bool m_isWithdrawalDue = false;
    std::set<std::uint32_t> m_ready;
    // By rank, the map that it is armed with for the pass.
    std::map<std::uint32_t, group_map_version> m_armed;
    // Ranks that never will be armed for the pass.
    std::set<std::uint32_t> m_cleared;
    bool m_isDeclined = false;
    std::map<std::uint32_t, instant> m_heardAt;
    std::map<std::uint32_t, instant> m_readAt;
    std::vector<std::uint32_t> m_silentRanks;
    std::vector<coordinator_log_event> m_logEvents;
};

} // namespace appleramp
