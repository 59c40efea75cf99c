#include "decisions/forwarding/forwarding_reducer.h"

#include "decisions/forwarding/durations.h"

#include <algorithm>
#include <utility>

// The part of the reducer that keeps endpoints within the limits that they name: learning, telling other entries, waiting.

namespace appleramp {

namespace {

// A change is told this often, as datagrams are lost.
constexpr unsigned changeTellings = 3;
// Of the entries to which an agent reports, about this many tell the others at once.
constexpr double tellersPerChange = 3;
// Time between two tellings of a change. The other entries wait as long, and tell it only if none has until then.
constexpr duration tellingDelay = std::chrono::milliseconds(100);
// Upper bound of the random delay before an entry corrects another one that tells of an outdated limit.
constexpr duration correctionJitter = std::chrono::milliseconds(300);
// Interval at which an entry tells a few others all limits that it knows.
constexpr duration sharingInterval = std::chrono::milliseconds(700);
// Records that are told at once; the others follow in the next rounds.
constexpr std::size_t maxSharedLimits = 32;
// An agent's report may take this long to arrive. One without a limit says nothing of a limit that was named later.
constexpr duration agentReportDelay = std::chrono::milliseconds(500);
// Endpoints whose unreadable limits are remembered, since each is logged once.
constexpr std::size_t maxUnreadableLogged = 1024;
// While every endpoint of its service is at its limit, a request waits for at most maxPermitWait or its time left divided by
// permitWaitDivisor, whichever is shorter.
constexpr duration maxPermitWait = std::chrono::seconds(3);
constexpr int permitWaitDivisor = 3;
// A waiting request looks for endpoints this often, since limits end.
constexpr duration permitWaitStep = std::chrono::milliseconds(250);
// A request that has to wait longer for a turn of this entry asks another entry for one.
constexpr duration longPermitWait = std::chrono::milliseconds(200);
// Questions of one request, and the time within which the answer to one is expected.
constexpr std::uint32_t maxPermitQuestions = 3;
constexpr duration permitAnswerWait = std::chrono::milliseconds(150);
// After an entry needed its turn itself, no further one is asked for this long.
constexpr duration refusedPermitPause = std::chrono::milliseconds(100);

} // namespace

void forwarding_reducer::on(const endpoint_limit_stated& event)
{
    const auto found = m_requests.find(event.request);
    if (found == m_requests.end())
        return;
    const request_state& request = found->second;
    if (!recordLimit(event.now, request.currentEndpoint, request.sentAt, event.statement, request.caller.sendId))
        return;
    m_limitTellings[request.currentEndpoint] = { event.now, changeTellings };
    shareChangedLimits(event.now);
}

void forwarding_reducer::recordReportedLimit(instant now, const endpoint_load& load)
{
    const auto endpoint = m_fleet.atAddress(load.address, load.startedAtMs);
    if (!endpoint || !recordLimit(now, *endpoint, now - agentReportDelay, load.limit, {}))
        return;
    // All entries to which the agent reports learn it at the same time.
    const bool tellsAtOnce = randomFraction() * static_cast<double>(load.subscribers) < tellersPerChange;
    m_limitTellings[*endpoint] = tellsAtOnce ? limit_telling { now, changeTellings } : limit_telling { now + tellingDelay, 1 };
    shareChangedLimits(now);
}

bool forwarding_reducer::recordLimit(
    instant now, const endpoint_id& endpoint, instant sentAt, const limit_statement& statement, const std::string& sendId)
{
    if (const auto* const unreadable = std::get_if<unreadable_limit>(&statement)) {
        if (m_unreadableLimits.size() < maxUnreadableLogged && m_unreadableLimits.insert(endpoint).second)
            m_effects.emplace_back(log_decision { "endpoint_limit_unreadable", sendId, { { "endpoint", endpoint.str() }, { "value", unreadable->value } } });
        return false;
    }
    if (!m_fleet.recordLimit(now, endpoint, sentAt, statement))
        return false;
    logLimit(now, endpoint, sendId.empty() ? "agent" : "answer", sendId);
    return true;
}

void forwarding_reducer::logLimit(instant now, const endpoint_id& endpoint, std::string_view source, const std::string& sendId)
{
    const auto record = m_fleet.limits().record(now, endpoint);
    if (!record)
        return;
    m_effects.emplace_back(log_decision { record->isOver ? "endpoint_limit_over" : "endpoint_limited", sendId,
        { { "endpoint", endpoint.str() }, { "limit", std::to_string(record->requestsPerSecond) }, { "source", std::string(source) },
            { "age_ms", millisecondsText(record->age) }, { "entries", std::to_string(m_fleet.limits().entryCount()) } } });
}

void forwarding_reducer::on(const endpoint_limits_told& event)
{
    for (const endpoint_limit_record& record : event.records) {
        switch (m_fleet.recordToldLimit(event.now, record)) {
        case endpoint_limits::told_outcome::News:
            logLimit(event.now, record.endpoint, "entry", {});
            [[fallthrough]];
        case endpoint_limits::told_outcome::Known:
            // Another entry tells it already.
            if (const auto pending = m_limitTellings.find(record.endpoint); pending != m_limitTellings.end() && pending->second.left == 1)
                m_limitTellings.erase(pending);
            break;
        case endpoint_limits::told_outcome::Outdated:
            m_limitTellings.try_emplace(record.endpoint, limit_telling { event.now + scaled(correctionJitter, randomFraction()), 1 });
            break;
        }
    }
}

void forwarding_reducer::shareChangedLimits(instant now)
{
    std::vector<endpoint_limit_record> changed;
    for (auto telling = m_limitTellings.begin(); telling != m_limitTellings.end() && changed.size() < maxSharedLimits;) {
        if (now < telling->second.due) {
            ++telling;
            continue;
        }
        const auto record = m_fleet.limits().record(now, telling->first);
        if (record)
            changed.push_back(*record);
        telling->second.due = now + tellingDelay;
        const bool isDone = !record || --telling->second.left == 0;
        telling = isDone ? m_limitTellings.erase(telling) : std::next(telling);
    }
    if (!changed.empty())
        m_effects.emplace_back(share_endpoint_limits { std::move(changed), record_recipients::AllEntries });
}

// Tells what is due of changes, and from time to time all that is known.
void forwarding_reducer::shareLimits(instant now)
{
    shareChangedLimits(now);
    if (now - m_limitsSharedAt < sharingInterval)
        return;
    m_limitsSharedAt = now;
    std::vector<endpoint_limit_record> known = m_fleet.limits().records(now);
    if (known.size() > maxSharedLimits) {
        std::shuffle(known.begin(), known.end(), m_random);
        known.resize(maxSharedLimits);
    }
    if (!known.empty())
        m_effects.emplace_back(share_endpoint_limits { std::move(known), record_recipients::SomeEntries });
}

std::vector<endpoint_limit_record> forwarding_reducer::limitsForStartingEntry(instant now) const
{
    std::vector<endpoint_limit_record> records = m_fleet.limits().records(now);
    records.resize(std::min(records.size(), maxSharedLimits));
    return records;
}

std::size_t forwarding_reducer::requestsAhead(request_number number, const request_state& request) const
{
    return m_permitQueue.countAhead(request.service, request.urgencyRank, number);
}

bool forwarding_reducer::waitForPermit(instant now, request_number number, request_state& request, const placement_query& query)
{
    // The caller need not wait for a failure that is at hand.
    if (request.hasFailureAnswer)
        return false;
    if (request.permitWaitEnd == instant {})
        request.permitWaitEnd = now + std::min(maxPermitWait, (request.deadline - now) / permitWaitDivisor);
    const std::size_t ahead = requestsAhead(number, request);
    const auto opensAt = m_fleet.limitOpensAt(query, ahead, request.permitWaitEnd);
    const bool isSoon = opensAt && *opensAt - now < longPermitWait;
    const bool isAsked = !isSoon && askForPermit(now, number, request, query);
    if (!opensAt && !isAsked)
        return false;
    const instant nextLook = now + (isAsked ? permitAnswerWait : permitWaitStep);
    const instant until = opensAt ? std::min(std::max(*opensAt, now + duration(1)), nextLook) : nextLook;
    if (!std::exchange(request.waitsForPermit, true)) {
        m_permitQueue.add(request.service, request.urgencyRank, number);
        m_effects.emplace_back(log_decision { "waits_for_limit", request.caller.sendId,
            { { "service", request.service.str() }, { "for_ms", millisecondsText(opensAt ? *opensAt - now : duration(-1)) },
                { "ahead", std::to_string(ahead) }, { "asked", isAsked ? "true" : "false" } } });
    }
    m_effects.emplace_back(wait_for_service { number, until });
    return true;
}

bool forwarding_reducer::askForPermit(instant now, request_number number, request_state& request, const placement_query& query)
{
    if (request.permitQuestions == maxPermitQuestions || now < m_noPermitsUntil[request.service] || !m_fleet.areAllLimited(query))
        return false;
    auto found = m_fleet.borrowableRequest(query, request.permitWaitEnd, randomFraction());
    if (!found)
        return false;
    ++request.permitQuestions;
    found->question.request = number;
    request.openPermitQuestion = found->question;
    m_effects.emplace_back(ask_permit { instance_id(found->owner), found->question });
    return true;
}

// A request that waits here goes first; without one, the turn would pass unused.
void forwarding_reducer::on(const permit_asked& event)
{
    if (event.question.turn == sharedTurn)
        return lendShare(event);
    const service_id service = m_fleet.serviceOf(event.question.endpoint);
    const bool isGranted = !m_permitQueue.isWaiting(service) && m_fleet.lendRequest(event.now, event.question);
    m_effects.emplace_back(answer_permit { event.asker, { event.question, isGranted } });
    if (isGranted)
        m_effects.emplace_back(log_decision { "permit_lent", {},
            { { "endpoint", event.question.endpoint.str() }, { "turn", std::to_string(event.question.turn) }, { "to", event.asker.str() } } });
}

// An answer counts once, and only for the question that is open: datagrams arrive twice, or late.
void forwarding_reducer::on(const permit_answered& event)
{
    const permit_question& question = event.answer.question;
    const auto found = m_requests.find(question.request);
    if (found == m_requests.end() || found->second.openPermitQuestion != question)
        return;
    request_state& request = found->second;
    request.openPermitQuestion.reset();
    if (question.turn == sharedTurn)
        return onShareAnswered(event, request);
    if (event.answer.isGranted) {
        m_fleet.borrowRequest(event.now, question);
        request.permitQuestions = maxPermitQuestions;
        m_effects.emplace_back(log_decision { "permit_borrowed", request.caller.sendId,
            { { "endpoint", question.endpoint.str() }, { "turn", std::to_string(question.turn) } } });
    } else
        m_noPermitsUntil[m_fleet.serviceOf(question.endpoint)] = event.now + refusedPermitPause;
    if (request.waitsForPermit)
        place(event.now, question.request, request);
}

void forwarding_reducer::leavePermitQueue(request_number number, request_state& request)
{
    if (std::exchange(request.waitsForPermit, false))
        m_permitQueue.remove(request.service, request.urgencyRank, number);
    if (std::exchange(request.waitsForShare, false))
        --m_shareWaiters[request.service];
}

void forwarding_reducer::forget(request_number number)
{
    const auto found = m_requests.find(number);
    if (found == m_requests.end())
        return;
    leavePermitQueue(number, found->second);
    if (room_gate* const room = sharedRoom(found->second.service))
        room->leave(number);
    m_fleet.work().recordEnd(number);
    m_requests.erase(found);
}

} // namespace appleramp
