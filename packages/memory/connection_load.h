#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>

namespace appleramp {

// A connection as the choice of one to close sees it.
struct connection_load {
    std::size_t heldBytes = 0;
    // Since the beginning of the request or answer that it holds.
    std::chrono::steady_clock::duration heldFor {};
    // Since it was opened, or its last answer was sent.
    std::chrono::steady_clock::duration quietFor {};
    // A request was passed on, and its answer is not complete.
    bool isAnswering = false;
    // Part of an answer is not sent.
    bool hasOutput = false;
};

// The connection that gives way when memory is short: the one that has held most for longest, by bytes times time. A caller that sends or
// reads its message without delay holds it for a short time only. Requests that were passed on, and have got no answer yet, stay, as do
// connections that hold less than 16 KiB. Nothing if none may be closed.
std::optional<std::size_t> chooseForMemory(std::span<const connection_load> connections);

// The connection that gives way to a new one: the one that has been quiet for longest, first among those with no answer to read. Requests
// that were passed on stay, and so do streams.
std::optional<std::size_t> chooseForDescriptor(std::span<const connection_load> connections);

} // namespace appleramp
