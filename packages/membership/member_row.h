#pragma once

#include "model/identifiers.h"

#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

// A process's row in the members' table: how the others reach it. Written at its start and dropped at a planned stop.
struct member_row {
    bool isEntry = false;
    availability_zone_id zone;
    // Address and port for datagrams.
    std::string newsAddress;
    // Of an agent: its engine.
    std::string engineAddress;
};

constexpr std::string_view membersTable = "appleramp-members";

std::string encodeMember(const member_row& row);
std::optional<member_row> decodeMember(std::string_view text);

} // namespace appleramp
