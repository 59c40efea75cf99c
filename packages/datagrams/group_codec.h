#pragma once

#include "decisions/groups/group_messages.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace appleramp {

nlohmann::json groupMessageToJson(const group_message& message);
// None if this version does not know the message. Throws nlohmann::json::exception if a member is missing.
std::optional<group_message> groupMessageFromJson(const nlohmann::json& body);

} // namespace appleramp
