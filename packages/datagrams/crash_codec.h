#pragma once

#include "model/crash_news.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

nlohmann::json crashRecordToJson(const crash_record& record);
// None if the record is about a kind of suspect that this version does not know. Throws nlohmann::json::exception if a member is
// missing or has another type.
std::optional<crash_record> crashRecordFromJson(const nlohmann::json& record);

// Table of the store with a row for each suspect that entries remember though all of them restart.
constexpr std::string_view crashTable = "appleramp-crashes";
std::string crashRowKey(const suspect_key& key);
// None if the row was not written by this version.
std::optional<suspect_key> suspectOfRowKey(std::string_view rowKey);
std::string encodeCrashRow(const crash_record& record);
std::optional<crash_record> decodeCrashRow(std::string_view value);

} // namespace appleramp
