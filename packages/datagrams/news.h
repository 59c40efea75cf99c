#pragma once

#include "decisions/groups/group_messages.h"
#include "model/endpoint_news.h"
#include "model/freshness_news.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

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

// News for several, which the receiver passes on, so that a large message does not fill one sender's link.
struct relayed_news {
    // Addresses to which the receiver sends the message.
    std::vector<std::string> targets;
    // One encoded message, which is also for the receiver.
    std::string message;
};

// What processes tell each other in single datagrams.
using news = std::variant<entry_presence, endpoint_load, breakdown_news, group_news, relayed_news, freshness_question,
    freshness_answer>;

} // namespace appleramp
