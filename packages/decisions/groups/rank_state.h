#pragma once

#include "decisions/groups/group_messages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace appleramp {

// The state of one rank of a group, as read from its engine.
struct rank_state {
    std::uint32_t rank = 0;
    std::uint32_t ranks = 0;
    group_epoch epoch = 0;
    bool groupOpen = false;
    pass_number pass = 0;
    group_map_version mapVersion = 0;
    std::optional<group_map_version> preparedVersion;
    std::optional<group_map_version> armedVersion;
    std::optional<pass_number> armedPass;
    std::optional<pass_number> heldPass;
    // Number of orders that the engine has begun. It refuses an order that expects another count.
    std::uint64_t orderCount = 0;
    bool isBusy = false;
    // Time that the rank takes for its work, as a multiple of the usual time.
    double slowdownFactor = 1;
};

enum class rank_order_kind {
    // Copy the experts of a map, beside those of the map in force.
    Prepare,
    // Do not begin the given pass, which stops the whole group before it.
    Hold,
    // Switch to the prepared map when the given pass begins.
    Arm,
    // Undo an Arm.
    Disarm,
    // Release a Hold.
    Release,
};

std::string_view nameOf(rank_order_kind kind);

// An order to one engine. The engine carries it out only in the given epoch and at the expected order count, so a copy that
// the network or the engine delays has no effect once a later order has begun.
struct rank_order {
    rank_order_kind kind = rank_order_kind::Hold;
    group_epoch epoch = 0;
    std::uint64_t expectedOrderCount = 0;
    group_map_version version = 0;
    pass_number pass = 0;
    // The map to prepare; set for Prepare only.
    std::shared_ptr<const group_map> map;
};

} // namespace appleramp
