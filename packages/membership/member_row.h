#pragma once

#include "model/identifiers.h"

#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

// A process's row in the members table: the addresses at which other processes reach it. Written when the process starts
// and deleted at a planned stop.
struct member_row {
    bool isEntry = false;
    availability_zone_id zone;
    // Address and port at which the process receives datagrams.
    std::string datagramAddress;
    // Address of the agent's engine; empty for an entry.
    std::string engineAddress;
    // Address at which an entry passes on what it read of the store; empty for an agent.
    std::string readerAddress;
};

constexpr std::string_view membersTable = "appleramp-members";

std::string encodeMember(const member_row& row);
std::optional<member_row> decodeMember(std::string_view text);

} // namespace appleramp
