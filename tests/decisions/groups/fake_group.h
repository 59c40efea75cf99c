#pragma once

#include "decisions/groups/group_agent.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace appleramp {

// A group of engines that take orders as the users' platform says, and begin passes together.
class fake_group {
public:
    fake_group(std::size_t ranks, std::size_t sets, std::size_t experts);

    // Carries an order out if it fits; returns whether it began.
    bool apply(std::size_t rank, const rank_order& order);
    rank_state read(std::size_t rank) const;
    rank_lists_read lists(std::size_t rank) const;
    // Ends copies whose time has come, and begins the next pass unless a rank holds it.
    void pass(instant now);
    // A rank crashes and comes back: the group forms anew.
    void formAnew();
    // A read of the clock for the copies that orders start.
    void setTime(instant now) { m_now = now; }

    // Passes that began with two maps; must stay 0.
    std::uint64_t mixedPasses() const { return m_mixedPasses; }
    pass_number passes() const { return m_pass; }
    std::uint64_t mapVersion() const { return m_ranks[0].version; }
    bool isHeld() const;

private:
    struct prepared_map {
        map_number version = 0;
        group_map map;
        instant readyAt;
    };
    struct rank {
        map_number version = 0;
        group_map map;
        std::optional<prepared_map> copying;
        std::optional<prepared_map> prepared;
        std::optional<map_number> armedVersion;
        pass_number armedPass = 0;
        std::optional<pass_number> held;
        // Engines of the users' bench do not count orders of maps, so copies that come late are kept out by nothing else
        // than epoch, pass and version.
        std::uint64_t orders = 0;
        map_number highestVersion = 0;
    };

    bool prepare(rank& rank, const rank_order& order);
    bool hold(rank& rank, const rank_order& order);
    bool arm(rank& rank, const rank_order& order);
    static bool disarm(rank& rank, const rank_order& order);
    static bool go(rank& rank, const rank_order& order);

    std::vector<rank> m_ranks;
    std::size_t m_experts;
    std::size_t m_sets;
    group_epoch m_epoch = 1;
    pass_number m_pass = 0;
    std::uint64_t m_mixedPasses = 0;
    instant m_now;
};

} // namespace appleramp
