#pragma once

#include "model/endpoint_limit.h"

#include <nlohmann/json_fwd.hpp>

#include <span>
#include <vector>

namespace appleramp {

// Limits in datagrams. Reading throws nlohmann::json::exception if a member is missing or has another type; records whose rate is
// no number that can be used are left out.
nlohmann::json limitStatementToJson(const limit_statement& statement);
limit_statement limitStatementFromJson(const nlohmann::json& statement);
nlohmann::json limitRecordsToJson(std::span<const endpoint_limit_record> records);
std::vector<endpoint_limit_record> limitRecordsFromJson(const nlohmann::json& records);
nlohmann::json permitQuestionToJson(const permit_question& question);
permit_question permitQuestionFromJson(const nlohmann::json& question);

} // namespace appleramp
