#include "decisions/limits/endpoint_limits.h"

#include <algorithm>
#include <cmath>

namespace appleramp {

namespace {

// Turns for which the requests of this entry are kept.
constexpr std::size_t maxPlannedTurns = 256;
// Bits of a turn's number below that of its recovery step.
constexpr unsigned stepShift = 48;

double rateOf(double named, bool isOver, std::uint64_t step)
{
    return isOver ? std::max(named, endpoint_limits::leastRecoveryRate) * std::exp2(step) : std::max(named, endpoint_limits::leastRate);
}

} // namespace

std::optional<endpoint_limits::current_turns> endpoint_limits::turnsAt(const known_limit& limit, instant now)
{
    if (!limit.isOver)
        return current_turns { { rateOf(limit.requestsPerSecond, false, 0), limit.turnsFrom } };
    const std::uint64_t step = now <= limit.turnsFrom ? 1 : static_cast<std::uint64_t>((now - limit.turnsFrom) / recoveryStep) + 1;
    if (step > recoverySteps)
        return std::nullopt;
    const instant from = limit.turnsFrom + recoveryStep * static_cast<duration::rep>(step - 1);
    return current_turns { { rateOf(limit.requestsPerSecond, true, step), from }, step, from + recoveryStep };
}

std::uint64_t endpoint_limits::turnNumber(const current_turns& current, std::uint64_t turn) { return (current.step << stepShift) + turn; }

void endpoint_limits::adopt(instant now, known_limit& limit, double requestsPerSecond, bool isOver, instant statedAt, instant turnsFrom)
{
    if (limit.knownSince == instant {} || limit.isOver)
        limit.knownSince = now;
    limit.requestsPerSecond = requestsPerSecond;
    limit.isOver = isOver;
    limit.statedAt = statedAt;
    limit.turnsFrom = turnsFrom;
    limit.lastTurn = 0;
    limit.sentInTurn = 0;
    limit.plan.clear();
    limit.exchanged.clear();
}

bool endpoint_limits::recordStatement(
    instant now, const endpoint_id& endpoint, std::uint64_t startedAtMs, instant sentAt, const limit_statement& statement)
{
    const auto found = m_limits.find(endpoint);
    const bool isKnown = found != m_limits.end() && found->second.startedAtMs == startedAtMs;
    if (std::holds_alternative<no_limit>(statement)) {
        // An answer to a request that was sent before the limit was last named may have begun before it.
        if (!isKnown || found->second.isOver || sentAt <= found->second.statedAt)
            return false;
        adopt(now, found->second, found->second.requestsPerSecond, true, sentAt, now);
        return true;
    }
    const auto* const named = std::get_if<request_limit>(&statement);
    if (named == nullptr)
        return false;
    if (isKnown && !found->second.isOver && found->second.requestsPerSecond == named->requestsPerSecond) {
        found->second.statedAt = std::max(found->second.statedAt, now);
        return false;
    }
    known_limit& limit = m_limits[endpoint];
    if (!isKnown)
        limit = {};
    limit.startedAtMs = startedAtMs;
    // The first turn begins only after its length, so that a limit that changes with each answer gives no more turns.
    const request_turns turns(rateOf(named->requestsPerSecond, false, 0), now);
    adopt(now, limit, named->requestsPerSecond, false, now, now + turns.length());
    return true;
}

endpoint_limits::told_outcome endpoint_limits::recordTold(instant now, const endpoint_limit_record& told)
{
    const instant statedAt = now - told.age;
    const instant turnsFrom = now - told.turnsAge;
    const auto found = m_limits.find(told.endpoint);
    if (found == m_limits.end() || found->second.startedAtMs != told.startedAtMs) {
        known_limit& limit = m_limits[told.endpoint] = {};
        limit.startedAtMs = told.startedAtMs;
        adopt(now, limit, told.requestsPerSecond, told.isOver, statedAt, turnsFrom);
        return told_outcome::News;
    }
    known_limit& limit = found->second;
    if (limit.isOver == told.isOver && limit.requestsPerSecond == told.requestsPerSecond) {
        limit.statedAt = std::max(limit.statedAt, statedAt);
        // Messages take time, so the earliest beginning is the one that the first entry set.
        if (turnsFrom < limit.turnsFrom) {
            limit.turnsFrom = turnsFrom;
            limit.plan.clear();
        }
        return told_outcome::Known;
    }
    const bool isUnordered = std::chrono::abs(statedAt - limit.statedAt) < orderUncertainty;
    const bool isStricter = limit.isOver ? !told.isOver : !told.isOver && told.requestsPerSecond < limit.requestsPerSecond;
    if (isUnordered ? !isStricter : statedAt < limit.statedAt)
        return told_outcome::Outdated;
    adopt(now, limit, told.requestsPerSecond, told.isOver, statedAt, turnsFrom);
    return told_outcome::News;
}

bool endpoint_limits::isLimited(instant now, const endpoint_id& endpoint) const { return currentRate(now, endpoint).has_value(); }

std::optional<double> endpoint_limits::currentRate(instant now, const endpoint_id& endpoint) const
{
    const auto found = m_limits.find(endpoint);
    const auto current = found == m_limits.end() ? std::nullopt : turnsAt(found->second, now);
    return current ? std::optional(rateOf(found->second.requestsPerSecond, found->second.isOver, current->step)) : std::nullopt;
}

std::uint64_t endpoint_limits::ownRequests(known_limit& limit, const endpoint_id& endpoint, const current_turns& current, std::uint64_t turn)
{
    const std::uint64_t number = turnNumber(current, turn);
    if (limit.planGeneration != m_owners.generation() || number < limit.plannedFrom || number - limit.plannedFrom >= maxPlannedTurns || limit.plan.empty()) {
        limit.planGeneration = m_owners.generation();
        limit.plannedFrom = number;
        limit.plan.clear();
    }
    while (limit.plan.size() <= number - limit.plannedFrom)
        limit.plan.push_back(m_owners.ownRequests(endpoint.str(), limit.plannedFrom + limit.plan.size(), current.turns.requestsPerTurn()));
    return limit.plan[number - limit.plannedFrom];
}

std::uint64_t endpoint_limits::availableRequests(known_limit& limit, const endpoint_id& endpoint, const current_turns& current, std::uint64_t turn)
{
    const std::uint64_t number = turnNumber(current, turn);
    const auto exchanged = limit.exchanged.find(number);
    const auto own = static_cast<std::int64_t>(ownRequests(limit, endpoint, current, turn) - sentIn(limit, number));
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, own + (exchanged == limit.exchanged.end() ? 0 : exchanged->second)));
}

bool endpoint_limits::allowsSend(instant now, const endpoint_id& endpoint)
{
    const auto found = m_limits.find(endpoint);
    const auto current = found == m_limits.end() ? std::nullopt : turnsAt(found->second, now);
    if (!current)
        return true;
    const std::uint64_t turn = current->turns.turnAt(now);
    const bool isAllowed = current->turns.hasBegun(now) && availableRequests(found->second, endpoint, *current, turn) > 0;
    found->second.passedOver += isAllowed ? 0 : 1;
    return isAllowed;
}

void endpoint_limits::recordSend(instant now, const endpoint_id& endpoint)
{
    const auto found = m_limits.find(endpoint);
    const auto current = found == m_limits.end() ? std::nullopt : turnsAt(found->second, now);
    if (!current)
        return;
    known_limit& limit = found->second;
    const std::uint64_t number = turnNumber(*current, current->turns.turnAt(now));
    limit.sentInTurn = sentIn(limit, number) + 1;
    limit.lastTurn = number;
    ++limit.sends;
    forgetPastTurns(limit, number);
}

std::vector<instant> endpoint_limits::sendTimes(instant now, const endpoint_id& endpoint, instant until)
{
    std::vector<instant> times;
    const auto found = m_limits.find(endpoint);
    const auto current = found == m_limits.end() ? std::nullopt : turnsAt(found->second, now);
    if (!current)
        return times;
    const instant end = std::min(until, current->end);
    const std::uint64_t first = current->turns.turnAt(now);
    for (std::uint64_t turn = first; turn - first < maxPlannedTurns && current->turns.startOf(turn) < end; ++turn) {
        const std::uint64_t available = availableRequests(found->second, endpoint, *current, turn);
        for (std::uint64_t request = 0; request < available && times.size() < maxPlannedTurns; ++request)
            times.push_back(std::max(now, current->turns.startOf(turn)));
    }
    return times;
}

std::optional<endpoint_limits::borrowable_request> endpoint_limits::borrowableRequest(
    instant now, const endpoint_id& endpoint, instant until, double randomFraction)
{
    const auto found = m_limits.find(endpoint);
    const auto current = found == m_limits.end() ? std::nullopt : turnsAt(found->second, now);
    if (!current)
        return std::nullopt;
    const instant end = std::min(until, current->end);
    // The answer takes time, so the current turn may be over by then.
    const std::uint64_t first = current->turns.hasBegun(now) ? current->turns.turnAt(now) + 1 : 0;
    std::vector<std::uint64_t> turns;
    for (std::uint64_t turn = first; turns.size() < borrowableTurns && turn - first < maxPlannedTurns && current->turns.startOf(turn) < end; ++turn) {
        if (availableRequests(found->second, endpoint, *current, turn) == 0)
            turns.push_back(turn);
    }
    if (turns.empty())
        return std::nullopt;
    const std::uint64_t turn = turnNumber(*current, turns[static_cast<std::size_t>(randomFraction * static_cast<double>(turns.size()))]);
    const auto owner = m_owners.otherOwner(endpoint.str(), turn, current->turns.requestsPerTurn(), randomFraction);
    if (!owner)
        return std::nullopt;
    return borrowable_request { { endpoint, found->second.startedAtMs, found->second.requestsPerSecond, turn }, *owner };
}

void endpoint_limits::forgetPastTurns(known_limit& limit, std::uint64_t number)
{
    limit.exchanged.erase(limit.exchanged.begin(), limit.exchanged.lower_bound(number));
}

endpoint_limits::known_limit* endpoint_limits::limitOf(const permit_question& question)
{
    const auto found = m_limits.find(question.endpoint);
    const bool isSame = found != m_limits.end() && found->second.startedAtMs == question.startedAtMs && found->second.requestsPerSecond == question.requestsPerSecond;
    return isSame ? &found->second : nullptr;
}

bool endpoint_limits::lend(instant now, const permit_question& question)
{
    known_limit* const limit = limitOf(question);
    const auto current = limit == nullptr ? std::nullopt : turnsAt(*limit, now);
    // Turns are counted anew with each step of the recovery.
    if (!current || question.turn >> stepShift != current->step)
        return false;
    const std::uint64_t turn = question.turn - (current->step << stepShift);
    const std::uint64_t next = current->turns.turnAt(now);
    if (turn < next || turn - next >= maxPlannedTurns || availableRequests(*limit, question.endpoint, *current, turn) == 0)
        return false;
    forgetPastTurns(*limit, turnNumber(*current, next));
    --limit->exchanged[question.turn];
    return true;
}

void endpoint_limits::borrow(instant now, const permit_question& question)
{
    known_limit* const limit = limitOf(question);
    const auto current = limit == nullptr ? std::nullopt : turnsAt(*limit, now);
    const std::uint64_t number = current ? turnNumber(*current, current->turns.turnAt(now)) : 0;
    if (!current || question.turn < number)
        return;
    forgetPastTurns(*limit, number);
    ++limit->exchanged[question.turn];
}

std::optional<endpoint_limit_record> endpoint_limits::record(instant now, const endpoint_id& endpoint) const
{
    const auto found = m_limits.find(endpoint);
    if (found == m_limits.end())
        return std::nullopt;
    const known_limit& limit = found->second;
    return endpoint_limit_record { endpoint, limit.startedAtMs, limit.requestsPerSecond, limit.isOver, now - limit.statedAt, now - limit.turnsFrom };
}

std::vector<endpoint_limit_record> endpoint_limits::records(instant now) const
{
    std::vector<endpoint_limit_record> result;
    for (const auto& [endpoint, limit] : m_limits) {
        if (!limit.isOver || now - limit.turnsFrom < endToldFor)
            result.push_back(*record(now, endpoint));
    }
    return result;
}

std::vector<endpoint_limits::limit_view> endpoint_limits::views(instant now)
{
    std::vector<limit_view> result;
    for (const auto& [endpoint, limit] : m_limits) {
        const auto times = sendTimes(now, endpoint, now + viewHorizon);
        result.push_back({ *record(now, endpoint), now - limit.knownSince, limit.sends, limit.passedOver, times.empty() ? std::nullopt : std::optional(times.front()) });
    }
    return result;
}

std::size_t endpoint_limits::limitedCount(instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_limits.begin(), m_limits.end(), [&](const auto& each) { return turnsAt(each.second, now).has_value(); }));
}

} // namespace appleramp
