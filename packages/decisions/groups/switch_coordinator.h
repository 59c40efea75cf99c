#pragma once

#include "decisions/groups/expert_popularity.h"
#include "decisions/groups/group_map_planner.h"
#include "decisions/groups/group_messages.h"
#include "decisions/groups/rank_state.h"
#include "model/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace appleramp {

struct coordinator_limits {
    planning_limits planning;
    // Part by which the most loaded rank must be relieved for a new map to be worth its copies.
    double leastRelief = 0.06;
    // Imbalance from which a first map with few copies comes before the best one.
    double urgentImbalance = 1.6;
    // A rank copies one expert after the other, each in this time.
    duration copyTime = std::chrono::milliseconds(100);
    // Time that the copies of a map may take on a rank: of an urgent map, and of any other.
    duration urgentCopying = std::chrono::milliseconds(240);
    duration longestCopying = std::chrono::milliseconds(680);
    // Choices of experts that a plan must stand on.
    double leastChoices = 20000;
};

// A message for one rank, or for all agents of the group.
struct outgoing_message {
    std::optional<std::uint32_t> rank;
    group_message message;
};

// Read the engine of a rank whose agent is silent. Such a reading may be some hundred milliseconds old.
struct read_foreign_rank {
    std::uint32_t rank = 0;
};

// An order to the engine of a rank whose agent is silent.
struct give_foreign_order {
    std::uint32_t rank = 0;
    rank_order order;
};

using foreign_step = std::variant<read_foreign_rank, give_foreign_order>;

struct coordinator_note {
    std::string what;
    std::string detail;
};

// Plans a group's maps and brings them into force, one after the other; also concludes a switch whose coordinator is gone.
//
// It works on statuses that ranks' agents report. That a rank is armed or has declined is final until the outcome is
// told, so two coordinators at a time can only slow each other down.
class switch_coordinator {
public:
    explicit switch_coordinator(coordinator_limits limits)
        : m_limits(std::move(limits))
    {
    }

    void setLimits(coordinator_limits limits) { m_limits = std::move(limits); }
    void noteStatus(instant now, const rank_status& status);
    void noteChoices(instant now, const rank_choices& choices);
    // Another agent knows the outcome.
    void noteOutcome(instant now, const switch_outcome& outcome);
    // Takes over a switch that another coordinator began.
    void adopt(instant now, const switch_name& name, std::uint32_t ranks, std::shared_ptr<const group_map> anyMap);

    // What is due now. Only a leading coordinator proposes new maps.
    std::vector<outgoing_message> advance(instant now, bool leads, std::uint32_t ownRank);
    std::vector<coordinator_note> takeNotes();
    // What is to be done at the engines of ranks whose agents were killed, frozen or cut off in the middle of a switch.
    // Only what can't contradict such an agent when it wakes: a rank is made unable to arm, or let go on an outcome.
    std::vector<foreign_step> takeForeignSteps();
    void noteForeign(instant now, const rank_state& state);
    // It seeks the outcome of that switch, or tells it.
    bool pursues(const switch_name& name) const;

private:
    enum class phase {
        Idle,
        Preparing,
        Switching,
        // The outcome is known; it is told until every rank has let go.
        Concluding,
    };
    struct known_status {
        rank_status status;
        instant heardAt;
        // Of a silent agent's rank.
        instant readAt;
    };

    // Messages that nobody acts on are sent ever less often.
    duration resendInterval(instant now) const;
    bool isComplete(instant now) const;
    bool isQuiet() const;
    group_map currentMap() const;
    // Of all ranks, as they report.
    std::vector<double> paces() const;
    map_number highestVersion() const;
    void notePass(instant now, const rank_status& status);
    pass_number switchPass(instant now) const;
    void planNext(instant now, std::vector<outgoing_message>& out);
    void prepare(instant now, std::vector<outgoing_message>& out);
    void findVersion();
    void beginSwitch(instant now, std::vector<outgoing_message>& out);
    void awaitArmed(instant now, std::vector<outgoing_message>& out);
    void conclude(instant now, bool committed, std::vector<outgoing_message>& out);
    void learnLead(duration taken);
    void tellOutcome(instant now, std::vector<outgoing_message>& out);
    bool allAnsweredSince(instant then) const;
    bool hasPrepared(const rank_status& status) const;
    bool isArmed(const rank_status& status) const;
    bool armedApart() const;
    bool hasDeclined(const rank_status& status) const;
    bool hasLetGo(const rank_status& status) const;
    void enter(instant now, phase next);
    // To all at first, and later to those that have shown nothing of it.
    void sendProposal(std::span<const std::uint32_t> unaware, std::vector<outgoing_message>& out);
    void propose(const group_map& current, group_map_plan plan);
    void note(std::string what, std::string detail);
    void lookAfterSilentRanks(instant now, bool leads);
    std::optional<rank_order> foreignOrder(const rank_state& state);
    rank_order preventArming(const rank_state& state);
    void adoptStranded(instant now);
    void expectAllRanks(instant now, std::uint32_t ranks);

    coordinator_limits m_limits;
    std::map<std::uint32_t, known_status> m_ranks;
    expert_popularity m_popularity;
    phase m_phase = phase::Idle;
    instant m_enteredAt;
    instant m_sentAt;
    instant m_nextPlan;
    map_proposal m_proposal;
    map_changes m_changes;
    // What each rank holds by the proposed map.
    std::vector<std::uint64_t> m_digests;
    // When the ranks were asked whether they are all there; a switch begins only if all have answered since.
    std::optional<instant> m_askedAt;
    // Times that the proposal was sent.
    unsigned m_proposals = 0;
    // The changes are based on a map that this coordinator proposed, or on the first map, which all know.
    bool m_baseWasProposedHere = false;
    // The latest maps that this coordinator proposed.
    std::vector<map_number> m_proposedHere;
    switch_name m_switch;
    bool m_committed = false;
    bool m_adopted = false;
    std::uint32_t m_ownRank = 0;
    // Since when a rank has been held or armed while nothing was under way here.
    std::optional<instant> m_strandedSince;
    map_number m_highestUsed = 0;
    instant m_beganAt;
    // Time between the request and the pass at which ranks switch; as long as the last switch took and somewhat more.
    duration m_lead = shortestLead;
    // How long a pass takes, as the statuses show.
    duration m_passTime = std::chrono::milliseconds(50);
    pass_number m_latestPass = 0;
    instant m_latestPassAt;
    // A map that every rank can take: the one in force when the proposal was made, or any that was proposed.
    std::shared_ptr<const group_map> m_base;
    std::vector<coordinator_note> m_notes;
    std::vector<foreign_step> m_foreignSteps;

    // An agent that was silent for so long in a switch is looked after by the coordinator.
    static constexpr duration silentRankAfter = std::chrono::milliseconds(450);
    // Between two messages of a switch that some rank has not acted on.
    static constexpr duration switchResend = std::chrono::milliseconds(50);
    static constexpr duration shortestLead = std::chrono::milliseconds(70);
    static constexpr duration longestLead = std::chrono::milliseconds(900);
};

} // namespace appleramp
