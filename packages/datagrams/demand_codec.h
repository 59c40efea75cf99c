#pragma once

#include "model/demand_report.h"

#include <nlohmann/json_fwd.hpp>

namespace appleramp {

// A demand report as a member of a datagram. Ranks and teams are fixed-width integers, so that a report takes at most
// maxDemandBytes with names of up to 64 bytes each. Reading throws nlohmann::json::exception if a member is missing or has another type; more
// ranks or teams than a report holds are left out.
nlohmann::json demandReportToJson(const demand_report& report);
demand_report demandReportFromJson(const nlohmann::json& body);

constexpr std::size_t maxDemandBytes = 400;

} // namespace appleramp
