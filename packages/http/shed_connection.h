#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace appleramp {

// A connection that gave way to others.
struct shed_connection {
    // What was short: "memory" or "descriptors".
    std::string_view cause;
    std::string peerAddress;
    std::size_t heldBytes = 0;
    // What all connections and requests of the process held, and may hold; zero where descriptors were short.
    std::size_t accountBytes = 0;
    std::size_t accountLimitBytes = 0;
    std::size_t connections = 0;
};

} // namespace appleramp
