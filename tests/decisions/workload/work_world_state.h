#pragma once

#include "decisions/workload/work_world.h"

namespace appleramp::tests {

struct work_world::attempt {
    std::uint64_t number = 0;
    std::size_t entry = 0;
    std::size_t engine = 0;
    double unreadTokens = 0;
    std::uint32_t eventsLeft = 0;
    std::uint32_t contextTokens = 0;
    bool hasBegun = false;
    bool isOver = false;
    instant lastEvent;
};

} // namespace appleramp::tests
