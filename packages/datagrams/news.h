#pragma once

#include "decisions/groups/group_messages.h"
#include "model/endpoint_news.h"

#include <cstdint>
#include <string>
#include <variant>

namespace appleramp {

// An endpoint broke down while it ran a request of that content.
struct breakdown_news {
    std::uint64_t content = 0;
    std::string sendId;
};

// Between the agents of one group of engines.
struct group_news {
    std::string group;
    group_message message;
};

// What processes tell each other in single datagrams.
using news = std::variant<entry_presence, endpoint_load, breakdown_news, group_news>;

} // namespace appleramp
