#include "decisions/groups/choice_reporting.h"

#include <algorithm>

namespace appleramp {

namespace {

// Up to this number of ranks, every rank reports; in a larger group only ranks in the coordinator's zone do.
constexpr std::uint32_t maxGroupSizeForAllReports = 24;
// Number of ranks up to which all those in the coordinator's zone report.
constexpr std::uint32_t ranksPerStride = 80;
constexpr duration leastInterval = std::chrono::milliseconds(100);
constexpr duration intervalPerReporter = std::chrono::milliseconds(3);

} // namespace

std::uint32_t reportingRankStride(std::uint32_t ranks) { return std::max(1U, (ranks + ranksPerStride - 1) / ranksPerStride); }

bool reportsChoices(std::uint32_t rank, std::uint32_t ranks, bool isInCoordinatorZone)
{
    if (ranks <= maxGroupSizeForAllReports)
        return true;
    return isInCoordinatorZone && rank % reportingRankStride(ranks) == 0;
}

duration choiceReportInterval(std::uint32_t ranks)
{
    return std::max(leastInterval, intervalPerReporter * static_cast<duration::rep>(ranks / reportingRankStride(ranks)));
}

} // namespace appleramp
