#pragma once

#include "decisions/groups/group_messages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace appleramp {

// One reading of an engine that is a rank of a group.
struct rank_state {
    std::uint32_t rank = 0;
    std::uint32_t ranks = 0;
    group_epoch epoch = 0;
    bool groupOpen = false;
    pass_number pass = 0;
    map_number mapVersion = 0;
    std::optional<map_number> preparedVersion;
    std::optional<map_number> armedVersion;
    std::optional<pass_number> armedPass;
    std::optional<pass_number> heldPass;
    // Orders that the engine has begun; an order that expects another count is refused.
    std::uint64_t orderCount = 0;
    bool isBusy = false;
    // How many times longer than usual the rank takes for its work.
    double pace = 1;
};

enum class rank_order_kind {
    Prepare,
    Hold,
    Arm,
    Disarm,
    Go,
};

std::string_view nameOf(rank_order_kind kind);

// An order to one engine. It fits only the epoch and the order count that it names, so a copy that the network or the
// engine delays does nothing once a later order has begun.
struct rank_order {
    rank_order_kind kind = rank_order_kind::Hold;
    group_epoch epoch = 0;
    std::uint64_t expectedOrderCount = 0;
    map_number version = 0;
    pass_number pass = 0;
    // Of a Prepare.
    std::shared_ptr<const group_map> map;
};

} // namespace appleramp
