#pragma once

#include "decisions/groups/group_agent.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace appleramp {

// A group of simulated engines that handle orders as the users' platform specifies and begin passes together.
class fake_group {
public:
    fake_group(std::size_t ranks, std::size_t sets, std::size_t experts);

    // Carries out the order if it is applicable. Returns whether the engine accepted it.
    bool apply(std::size_t rank, const rank_order& order);
    rank_state read(std::size_t rank) const;
    expert_lists_read readLists(std::size_t rank) const;
    // Completes the copies that are due, and begins the next pass unless a rank holds it.
    void tryPass(instant now);
    // Simulates a rank that crashes and restarts: the group forms again in a new epoch, with the initial map.
    void reform();
    // Sets the time at which the copies of later orders start.
    void setTime(instant now) { m_now = now; }

    // Number of passes that began with different maps on different ranks; must stay 0.
    std::uint64_t mixedPasses() const { return m_mixedPasses; }
    pass_number passes() const { return m_pass; }
    std::uint64_t mapVersion() const { return m_ranks[0].version; }
    bool isHeld() const;

private:
    struct prepared_map {
        group_map_version version = 0;
        group_map map;
        instant readyAt;
    };
    struct rank {
        group_map_version version = 0;
        group_map map;
        std::optional<prepared_map> copying;
        std::optional<prepared_map> prepared;
        std::optional<group_map_version> armedVersion;
        pass_number armedPass = 0;
        std::optional<pass_number> held;
        // Always 0: the engines of the users' test bench do not count map orders, so delayed copies are refused only by
        // epoch, pass and version.
        std::uint64_t orders = 0;
        group_map_version highestVersion = 0;
    };

    bool prepare(rank& rank, const rank_order& order);
    bool hold(rank& rank, const rank_order& order);
    bool arm(rank& rank, const rank_order& order);
    static bool disarm(rank& rank, const rank_order& order);
    static bool release(rank& rank, const rank_order& order);

    std::vector<rank> m_ranks;
    std::size_t m_experts;
    std::size_t m_sets;
    group_epoch m_epoch = 1;
    pass_number m_pass = 0;
    std::uint64_t m_mixedPasses = 0;
    instant m_now;
};

} // namespace appleramp
