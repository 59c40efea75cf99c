#include "memory/connection_load.h"

#include <tuple>

namespace appleramp {

namespace {

// Closing connections that hold less frees little, and idle ones are many.
constexpr std::size_t leastBytesForMemory = 16UL * 1024;

double byteSeconds(const connection_load& connection)
{
    // The constant orders connections by their bytes that began at the same moment.
    constexpr double leastSeconds = 1e-3;
    return static_cast<double>(connection.heldBytes) * (leastSeconds + std::chrono::duration<double>(connection.heldFor).count());
}

// The index of the greatest by rank among the connections that may be closed.
template <typename MayClose, typename Rank>
std::optional<std::size_t> greatest(std::span<const connection_load> connections, const MayClose& mayClose, const Rank& rank)
{
    std::optional<std::size_t> chosen;
    for (std::size_t index = 0; index < connections.size(); ++index) {
        if (mayClose(connections[index]) && (!chosen || rank(connections[*chosen]) < rank(connections[index])))
            chosen = index;
    }
    return chosen;
}

} // namespace

std::optional<std::size_t> chooseForMemory(std::span<const connection_load> connections)
{
    return greatest(
        connections,
        [](const connection_load& connection) { return connection.heldBytes >= leastBytesForMemory && (!connection.isAnswering || connection.hasOutput); },
        byteSeconds);
}

std::optional<std::size_t> chooseForDescriptor(std::span<const connection_load> connections)
{
    return greatest(
        connections, [](const connection_load& connection) { return !connection.isAnswering; },
        [](const connection_load& connection) { return std::tuple(!connection.hasOutput, connection.quietFor); });
}

} // namespace appleramp
