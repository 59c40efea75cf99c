#pragma once

#include "store_world.h"

#include "decisions/forwarding/forwarding_reducer.h"
#include "directentry/store_followers.h"

namespace appleramp::tests {

struct store_world::entry {
    std::string name;
    availability_zone_id zone;
    duration clockOffset {};
    // Number of starts, by which callbacks of an earlier one are dropped.
    unsigned life = 0;
    bool alive = true;
    instant frozenUntil;
    instant cutUntil;
    process_settings settings;
    std::map<std::string, member_row> members;
    std::unique_ptr<row_store> store;
    std::unique_ptr<forwarding_reducer> reducer;
    std::unique_ptr<store_followers> followers;
    request_number lastRequest = 0;
    instant presenceTold;
    bool unannounced = true;
};

} // namespace appleramp::tests
