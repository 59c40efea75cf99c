#pragma once

#include "decisions/groups/group_messages.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace appleramp {

// Encodes a message as a JSON object whose member "k" names its type.
nlohmann::json groupMessageToJson(const group_message& message);
// Returns nothing if this version does not know the message type or the contents are inconsistent. Throws
// nlohmann::json::exception if a member is missing or has the wrong type.
std::optional<group_message> groupMessageFromJson(const nlohmann::json& body);

} // namespace appleramp
