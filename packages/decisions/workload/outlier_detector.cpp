#include "decisions/workload/outlier_detector.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr double lateFailure = 0.5;
// A late answer counts half, so two of them, or one failure and one late answer, are compared.
constexpr double leastFailures = 1.4;
// Failure rate of an outlier: at least, and by how much it exceeds the peers'.
constexpr double leastRate = 0.3;
constexpr double peersFactor = 3.0;
constexpr double peersMargin = 0.1;
// Attempts at the peers' rate that are presumed at each endpoint, and at each zone.
constexpr double presumedAttempts = 2.0;
constexpr double presumedZoneAttempts = 6.0;
// After so many failures in a row, at whichever endpoints, the zone is presumed to fail or to be out of reach.
constexpr unsigned zoneFailures = 3;
constexpr double failedZoneRate = 0.9;
// One of so many endpoints may be out.
constexpr std::size_t maxOutDivisor = 3;
// Requests that must be answered well in a row at the end of a probation.
constexpr unsigned soundAnswers = 3;
// A request on probation that is not heard of for so long was cancelled.
constexpr duration trialTimeout = std::chrono::seconds(2);
// One strike is forgiven after each such time.
constexpr duration forgiveTime = std::chrono::seconds(15);
constexpr unsigned maxStrikes = 4;

double failureOf(attempt_outcome outcome)
{
    if (outcome == attempt_outcome::Sound)
        return 0;
    return outcome == attempt_outcome::Late ? lateFailure : 1;
}

} // namespace

void outlier_detector::forgive(instant now, endpoint_record& record) const
{
    while (record.strikes > 0 && now - record.strikesUpdatedAt >= forgiveTime) {
        --record.strikes;
        record.strikesUpdatedAt += forgiveTime;
    }
}

standing_change outlier_detector::takeOut(instant now, endpoint_record& record, double peersRate)
{
    forgive(now, record);
    const duration outFor = std::min(firstOutTime * (1U << std::min(record.strikes, maxStrikes)), maxOutTime);
    record.strikes = std::min(record.strikes + 1, maxStrikes);
    record.strikesUpdatedAt = now + outFor;
    record.isOut = true;
    record.outUntil = now + outFor;
    record.soundOnProbation = 0;
    record.triedAt.reset();
    return { endpoint_standing::Out, outFor, record.rate.smoothed(now, peersRate, presumedAttempts), peersRate };
}

std::optional<standing_change> outlier_detector::record(instant now, const endpoint_id& endpoint, const availability_zone_id& zone, attempt_outcome outcome, std::size_t endpoints)
{
    endpoint_record& record = m_endpoints[endpoint];
    const double failure = failureOf(outcome);
    record.rate.record(now, failure);
    zone_record& inZone = m_zones[zone];
    inZone.rate.record(now, failure);
    inZone.failedInRow = outcome == attempt_outcome::Failed ? inZone.failedInRow + 1 : 0;
    m_all.record(now, failure);
    const double peersAttempts = m_all.attempts(now) - record.rate.attempts(now);
    const double peersRate = peersAttempts > 0 ? std::max(0.0, m_all.failures(now) - record.rate.failures(now)) / std::max(peersAttempts, 1.0) : 0;
    if (record.isOut) {
        // Requests that were sent before the endpoint was taken out say nothing of its recovery.
        if (now < record.outUntil || !record.triedAt)
            return std::nullopt;
        record.triedAt.reset();
        if (outcome != attempt_outcome::Sound)
            return takeOut(now, record, peersRate);
        if (++record.soundOnProbation < soundAnswers)
            return std::nullopt;
        record.isOut = false;
        record.rate = {};
        return standing_change { endpoint_standing::In, {}, 0, peersRate };
    }
    const double rate = record.rate.smoothed(now, peersRate, presumedAttempts);
    const bool isOutlier = record.rate.failures(now) >= leastFailures && rate >= std::max(leastRate, peersFactor * peersRate + peersMargin);
    if (outcome == attempt_outcome::Sound || !isOutlier || outCount() + 1 > endpoints / maxOutDivisor)
        return std::nullopt;
    return takeOut(now, record, peersRate);
}

void outlier_detector::recordSend(instant now, const endpoint_id& endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end() && found->second.isOut && now >= found->second.outUntil)
        found->second.triedAt = now;
}

endpoint_standing outlier_detector::standing(instant now, const endpoint_id& endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end() || !found->second.isOut)
        return endpoint_standing::In;
    return now < found->second.outUntil ? endpoint_standing::Out : endpoint_standing::Probation;
}

bool outlier_detector::mayTry(instant now, const endpoint_id& endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() || !found->second.triedAt || now - *found->second.triedAt >= trialTimeout;
}

std::optional<instant> outlier_detector::outUntil(instant now, const endpoint_id& endpoint) const
{
    return standing(now, endpoint) == endpoint_standing::Out ? std::optional(m_endpoints.at(endpoint).outUntil) : std::nullopt;
}

double outlier_detector::zoneRate(instant now, const availability_zone_id& zone, double rateOfAll) const
{
    const auto found = m_zones.find(zone);
    if (found == m_zones.end())
        return rateOfAll;
    const double rate = found->second.rate.smoothed(now, rateOfAll, presumedZoneAttempts);
    return found->second.failedInRow >= zoneFailures ? std::max(rate, failedZoneRate) : rate;
}

double outlier_detector::excessRisk(instant now, const endpoint_id& endpoint, const availability_zone_id& zone) const
{
    const double all = m_all.smoothed(now, 0, 1);
    const double inZone = zoneRate(now, zone, all);
    const auto found = m_endpoints.find(endpoint);
    const double own = found == m_endpoints.end() ? inZone : found->second.rate.smoothed(now, inZone, presumedAttempts);
    return std::max(0.0, own - all);
}

std::size_t outlier_detector::outCount() const
{
    return static_cast<std::size_t>(std::count_if(m_endpoints.begin(), m_endpoints.end(), [](const auto& entry) { return entry.second.isOut; }));
}

} // namespace appleramp
