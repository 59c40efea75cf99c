#pragma once

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

// What processes tell each other in single datagrams.
using news = std::variant<entry_presence, endpoint_load, breakdown_news>;

} // namespace appleramp
