#include "decisions/sharing/room_gate.h"

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

double seconds(duration time) { return std::chrono::duration<double>(time).count(); }
duration ofSeconds(double time) { return duration(static_cast<duration::rep>(time * 1e6)); }
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
    m_own.teams = m_meter.teamRates(now);
    for (auto& [key, slots] : m_own.teams)
        slots *= slotSeconds;
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

// While requests of the rank wait, its share is earned by time; otherwise each arrival earns its part.
void room_gate::earnCredit(instant now, std::uint8_t rank)
{
    rank_state& state = m_ranks.at(rank);
    const duration since = now - std::exchange(state.creditedAt, now);
    state.credit = std::min(maxCredit, state.credit + ownRate(rank) * seconds(since));
}

bool room_gate::takeCredit(rank_state& state, double leastCredit)
{
    if (state.credit < leastCredit)
        return false;
    state.credit -= 1;
    return true;
}

room_decision room_gate::decide(const room_query& query)
{
    if (!m_room.isNearLimit())
        return room_admission {};
    const auto kind = m_returning.kindOf(query.now, query.contentHash);
    if (kind == returning_requests::return_kind::Early)
        return room_refusal { std::max(m_returning.timeLeft(query.now, query.contentHash), duration(1)), room_refusal_cause::EarlyReturn };
    const double fraction = m_room.fraction(query.rank, query.team);
    const bool isReturning = kind == returning_requests::return_kind::AsTold;
    rank_state& state = m_ranks.at(query.rank);
    const bool hasWaiting = m_waiting.count(query.rank) > 0;
    // What arrives while others wait earns its part by time.
    if (!hasWaiting)
        state.credit = std::min(maxCredit, state.credit + fraction);
    const bool isWithinTeamShare = fraction >= 1;
    const bool goesFirst = isWithinTeamShare || (isReturning && fraction >= m_room.fraction(query.rank));
    if ((goesFirst || !hasWaiting) && takeCredit(state, goesFirst ? 1 - maxDebt : 1)) {
        m_returning.forget(query.contentHash);
        return room_admission {};
    }
    return waitOrRefuse(query, isReturning);
}

room_decision room_gate::waitOrRefuse(const room_query& query, bool isReturning)
{
    const double fraction = m_room.fraction(query.rank, query.team);
    const bool isTeamAboveShare = fraction < m_room.fraction(query.rank);
    const duration longestWait = std::min({ maxWait, scaled(query.latencyTarget, waitShareOfTarget), query.timeLeft / retryAfterDivisor });
    const waiting_request request { query.request, query.rank, query.team, isReturning, query.now + longestWait, query.now + longestWait, query.bytes, fraction };
    const double rate = ownRate(query.rank);
    const double ahead = static_cast<double>(m_waiting.countAhead(query.now, request));
    if (rate < leastRate || ofSeconds((ahead + 1) / rate) > longestWait)
        return refuse(query, isTeamAboveShare ? room_refusal_cause::Team : room_refusal_cause::Rank);
    const bool isFirst = m_waiting.count(query.rank) == 0;
    auto added = m_waiting.add(query.now, request);
    if (added.outcome == waiting_requests::add_outcome::Full)
        return refuse(query, room_refusal_cause::Displaced);
    if (isFirst)
        m_ranks.at(query.rank).creditedAt = query.now;
    return room_wait { request.waitsUntil, std::move(added.displaced) };
}

std::optional<request_number> room_gate::takeReady(instant now)
{
    for (std::uint8_t rank = 0; rank < sharedRanks; ++rank) {
        if (m_waiting.count(rank) == 0)
            continue;
        earnCredit(now, rank);
        if (m_room.isNearLimit() && !takeCredit(m_ranks.at(rank), 1))
            continue;
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
