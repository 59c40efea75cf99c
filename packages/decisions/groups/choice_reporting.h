#pragma once

#include "model/time.h"

#include <cstdint>

namespace appleramp {

// Which ranks of a group report their expert choices to the coordinator, and how often. All ranks get the same kind of
// requests, so a sample of them shows the popularity of experts; the coordinator's link bounds the rate of the reports.

// In a large group only each n-th rank of the coordinator's zone reports, so that those that do can report more often.
std::uint32_t reportingRankStride(std::uint32_t ranks);
bool reportsChoices(std::uint32_t rank, std::uint32_t ranks, bool isInCoordinatorZone);
duration choiceReportInterval(std::uint32_t ranks);

} // namespace appleramp
