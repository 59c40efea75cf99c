#include "decisions/sharing/room_gate.h"

#include "model/seconds.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// A share that was not used for a while does not let more requests through at once.
constexpr double maxCredit = 1.5;
// Requests that go before others of their rank may use the share of the requests after them up to this many.
constexpr double maxDebt = 4;
// A rank that may send fewer requests per second has no forecast.
constexpr double leastRate = 0.01;

duration scaled(duration time, double factor) { return ofSeconds(seconds(time) * factor); }

} // namespace

std::string_view nameOf(room_refusal_cause cause)
{
    switch (cause) {
    case room_refusal_cause::Rank:
        return "rank";
    case room_refusal_cause::Team:
        return "team";
    case room_refusal_cause::EarlyReturn:
        return "early_return";
    case room_refusal_cause::Displaced:
        return "displaced";
    case room_refusal_cause::WaitedInVain:
        break;
    }
    return "waited_in_vain";
}

void room_gate::recordArrival(instant now, std::uint8_t rank, std::uint32_t team, std::uint64_t contentHash)
{
    // It is not served before the time that it was told, so it asks for nothing now.
    if (m_returning.kindOf(now, contentHash) == returning_requests::return_kind::Early && m_room.isNearLimit())
        return;
    m_meter.record(now, rank, team);
}

void room_gate::update(instant now, const service_load& load, const rank_values& inFlight, std::size_t entryCount)
{
    m_updatedAt = now;
    m_entryCount = std::max<std::size_t>(entryCount, 1);
    m_ownRates = m_meter.rates(now);
    m_own = {};
    m_own.entries = 1;
    m_own.inFlight = inFlight;
    const double slotSeconds = seconds(load.slotTime);
    for (std::size_t rank = 0; rank < sharedRanks; ++rank) {
        m_own.offered[rank] = m_ownRates[rank] * slotSeconds;
        m_own.waiting[rank] = static_cast<double>(m_waiting.count(static_cast<std::uint8_t>(rank)));
    }
    // Where all requests of a rank are served, the demand of its teams does not matter, and reports have places for few teams.
    for (const auto& [key, rate] : m_meter.teamRates(now)) {
        if (m_room.fraction(key.first) < 1)
            m_own.teams[key] = { rate * slotSeconds, 1 };
    }
    m_room.update(load, m_own, m_reports.sum(now), m_entryCount);
}

demand_report room_gate::zoneReport(instant now) const
{
    demand_sum sum = m_reports.zoneSum(now);
    sum.add(m_own.toReport());
    return sum.toReport();
}

double room_gate::ownRate(std::uint8_t rank) const
{
    return m_room.fraction(rank) * m_ownRates.at(rank) + m_room.spareRate() / static_cast<double>(m_entryCount);
}

duration room_gate::longestWait(const room_query& query) const
{
    return std::min({ maxWait, scaled(query.latencyTarget, waitShareOfTarget), query.timeLeft / retryAfterDivisor });
}

double room_gate::waitingRate(std::uint8_t rank) const
{
    return waitingShare * m_room.fraction(rank) * m_ownRates.at(rank) + m_room.spareRate() / static_cast<double>(m_entryCount);
}

double room_gate::directFraction(const room_query& query) const
{
    const double fraction = m_room.fraction(query.rank, query.team);
    const bool mayWait = waitingRate(query.rank) * seconds(longestWait(query)) >= 1;
    return fraction >= 1 || !mayWait ? fraction : fraction * (1 - waitingShare);
}

// Entries begin at different points, so that they do not send a team's requests at the same time.
double& room_gate::creditOf(const room_query& query)
{
    if (m_credits.size() >= maxCredits)
        m_credits.clear();
    return m_credits.try_emplace({ query.rank, query.team }, query.jitter).first->second;
}

room_decision room_gate::decide(const room_query& query)
{
    if (!m_room.isNearLimit())
        return room_admission {};
    const auto kind = m_returning.kindOf(query.now, query.contentHash);
    if (kind == returning_requests::return_kind::Early)
        return room_refusal { std::max(m_returning.timeLeft(query.now, query.contentHash), duration(1)), room_refusal_cause::EarlyReturn };
    const bool isReturning = kind == returning_requests::return_kind::AsTold;
    double& credit = creditOf(query);
    credit = std::min(maxCredit, credit + directFraction(query));
    if (credit >= (isReturning ? 1 - maxDebt : 1)) {
        credit -= 1;
        m_returning.forget(query.contentHash);
        return room_admission {};
    }
    return waitOrRefuse(query, isReturning);
}

room_decision room_gate::waitOrRefuse(const room_query& query, bool isReturning)
{
    const double fraction = m_room.fraction(query.rank, query.team);
    const bool isTeamAboveShare = fraction < m_room.fraction(query.rank);
    const instant until = query.now + longestWait(query);
    const waiting_request request { query.request, query.rank, query.team, isReturning, until, until, query.bytes, fraction };
    const double rate = waitingRate(query.rank);
    const double ahead = static_cast<double>(m_waiting.countAhead(query.now, request));
    if (rate < leastRate || ofSeconds((ahead + 1) / rate) > longestWait(query))
        return refuse(query, isTeamAboveShare ? room_refusal_cause::Team : room_refusal_cause::Rank);
    const bool isFirst = m_waiting.count(query.rank) == 0;
    auto added = m_waiting.add(query.now, request);
    if (added.outcome == waiting_requests::add_outcome::Full)
        return refuse(query, room_refusal_cause::Displaced);
    if (isFirst)
        m_ranks.at(query.rank).creditedAt = query.now;
    return room_wait { until, std::move(added.displaced) };
}

bool room_gate::mayTakeWaiting(instant now, std::uint8_t rank)
{
    rank_state& state = m_ranks.at(rank);
    const duration since = now - std::exchange(state.creditedAt, now);
    state.waitingCredit = std::min(maxCredit, state.waitingCredit + waitingRate(rank) * seconds(since));
    if (!m_room.isNearLimit())
        return true;
    if (state.waitingCredit < 1)
        return false;
    state.waitingCredit -= 1;
    return true;
}

std::optional<request_number> room_gate::takeReady(instant now)
{
    for (std::uint8_t rank = 0; rank < sharedRanks; ++rank) {
        if (m_waiting.count(rank) > 0 && mayTakeWaiting(now, rank))
            return m_waiting.takeFirst(now, rank)->request;
    }
    return std::nullopt;
}

room_refusal room_gate::refuseWaiting(const room_query& query, room_refusal_cause cause)
{
    m_waiting.remove(query.request);
    return refuse(query, cause);
}

// Each refused request is told a time of its own, so that callers come back at a part of the rate at which their rank is served.
room_refusal room_gate::refuse(const room_query& query, room_refusal_cause cause)
{
    rank_state& state = m_ranks.at(query.rank);
    const duration longest = std::max(query.timeLeft / retryAfterDivisor, minRetryAfter);
    const instant earliest = query.now + minRetryAfter;
    const double rate = std::max(leastRate, ownRate(query.rank) * returningShare);
    instant due = std::max(earliest, state.nextReturn) + ofSeconds(query.jitter / rate);
    const bool isPromised = due - query.now <= longest;
    if (isPromised)
        state.nextReturn = std::max(earliest, state.nextReturn) + ofSeconds(1 / rate);
    else
        due = query.now + scaled(longest, (1 + query.jitter) / 2);
    const duration retryAfter = std::max(due - query.now, minRetryAfter);
    m_returning.recordRefusal(query.now, query.contentHash, retryAfter, isPromised);
    return { retryAfter, cause };
}

} // namespace appleramp
