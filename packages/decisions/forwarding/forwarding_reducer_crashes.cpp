#include "decisions/forwarding/forwarding_reducer.h"

#include "decisions/forwarding/durations.h"
#include "decisions/membership/rendezvous.h"

#include <algorithm>
#include <span>
#include <utility>

// What the reducer learns from attempts that break and from endpoints that die.

namespace appleramp {

namespace {

// The registry drops a silent endpoint only after three of its beats, and its followers hear of it later.
constexpr duration brokenExplainedFor = std::chrono::seconds(6);
// An endpoint that dies just after it reported a failure may have done so because of the request.
constexpr duration failureExplainedFor = std::chrono::seconds(1);
// A cancelled attempt may have run for a moment longer.
constexpr duration cancellationExplainedFor = std::chrono::milliseconds(500);
// Least time between two messages to all entries.
constexpr duration changedSharingInterval = std::chrono::milliseconds(100);
// Interval at which a few other entries are told of the suspects, so that entries which missed a message learn of them.
constexpr duration sharingInterval = std::chrono::milliseconds(700);
// Suspects that are not convicted are told for that long after they were last seen; by then all entries have heard of them.
constexpr duration suspectsSharedFor = std::chrono::seconds(10);
// Most records that are shared at a time.
constexpr std::size_t maxSharedRecords = 96;
// An entry that starts waits that long for the table of convicted suspects, which the store or its peers may not give.
constexpr duration convictionsAwaitedFor = std::chrono::seconds(3);
// An entry that learns of a conviction writes it to the store only if it is still missing there after this time, at random.
constexpr duration minStoreDelay = std::chrono::seconds(1);
constexpr duration storeDelayJitter = std::chrono::seconds(2);
// An attempt with as many pieces of its answer has begun without harm to its endpoint.
constexpr std::uint32_t soundAnswerPieces = 2;

std::string suspectText(const suspect_key& key)
{
    return (key.kind == suspect_kind::Request ? "request:" : "part:") + std::to_string(key.id);
}

std::string suspectsText(std::span<const suspect_key> keys)
{
    std::string text;
    for (const suspect_key& key : keys)
        text.append(text.empty() ? "" : " ").append(suspectText(key));
    return text;
}

std::uint64_t hashOf(const endpoint_id& endpoint, std::uint64_t startedAtMs)
{
    return rendezvousScore(endpoint.str(), std::to_string(startedAtMs));
}

} // namespace

void forwarding_reducer::recordSuspiciousEnding(instant now, const request_state& request, const attempt_ended& event)
{
    switch (event.ending) {
    case attempt_ending::NoAnswer:
    case attempt_ending::TruncatedAnswer:
    case attempt_ending::InvalidAnswer:
        recordBrokenAttempt(now, request, brokenExplainedFor);
        if (request.answerPieces < soundAnswerPieces && m_deaths.startProbe(now, request.currentEndpoint))
            m_effects.emplace_back(probe_endpoint { request.currentEndpoint, m_fleet.addressOf(request.currentEndpoint) });
        return;
    case attempt_ending::FailureAnswer:
    case attempt_ending::UnprovenRefusal:
        return recordBrokenAttempt(now, request, failureExplainedFor);
    case attempt_ending::TimedOut:
        return recordBrokenAttempt(now, request, cancellationExplainedFor);
    case attempt_ending::NotSent:
        if (event.connectionRefused)
            recordDeath(now, request.currentEndpoint, "connection");
        return;
    case attempt_ending::WrongEndpoint:
        return recordGone(now, request.currentEndpoint, "replaced");
    case attempt_ending::Rejected:
        return;
    }
}

void forwarding_reducer::recordCancelledAttempt(instant now, const request_state& request)
{
    if (!request.currentEndpoint.empty())
        recordBrokenAttempt(now, request, cancellationExplainedFor);
}

void forwarding_reducer::recordBrokenAttempt(instant now, const request_state& request, duration explainedFor)
{
    if (request.answerPieces >= soundAnswerPieces)
        return;
    const broken_attempt attempt { request.suspects, request.currentEndpoint, request.caller.sendId, request.sentAt, now, now + explainedFor };
    m_effects.emplace_back(log_decision { "breakdown_suspected", request.caller.sendId,
        { { "endpoint", request.currentEndpoint.str() }, { "suspects", suspectsText(request.suspects) }, { "pieces", std::to_string(request.answerPieces) } } });
    if (m_deaths.recordBrokenAttempt(attempt))
        recordBreakdown(now, attempt, "known_death");
}

void forwarding_reducer::recordDeath(instant now, const endpoint_id& endpoint, std::string_view source)
{
    if (!m_deaths.hasDied(endpoint))
        m_effects.emplace_back(log_decision { "endpoint_died", {}, { { "endpoint", endpoint.str() }, { "source", std::string(source) } } });
    for (const broken_attempt& attempt : m_deaths.recordDeath(now, endpoint))
        recordBreakdown(now, attempt, source);
}

void forwarding_reducer::recordGone(instant now, const endpoint_id& endpoint, std::string_view source)
{
    for (const broken_attempt& attempt : m_deaths.takeBrokenAttempts(now, endpoint))
        recordBreakdown(now, attempt, source);
}

void forwarding_reducer::recordBreakdown(instant now, const broken_attempt& attempt, std::string_view source)
{
    const std::uint64_t endpoint = hashOf(attempt.endpoint, m_fleet.startedAtMs(attempt.endpoint));
    // Later parts of the prompt first, since they explain the death better, and the request itself last.
    for (std::size_t index = attempt.suspects.size(); index-- > 0;)
        m_crashes.accuse(now, attempt.suspects[index], { endpoint, attempt.sentAt, attempt.brokenAt, static_cast<std::uint32_t>(index) });
    for (const suspect_key& key : attempt.suspects) {
        if (key.kind == suspect_kind::PromptPart)
            m_unstoredSuspects.insert_or_assign(key, now);
    }
    m_effects.emplace_back(log_decision { "breakdown_confirmed", attempt.sendId,
        { { "endpoint", attempt.endpoint.str() }, { "suspects", suspectsText(attempt.suspects) },
            { "source", std::string(source) }, { "age_ms", millisecondsText(now - attempt.brokenAt) } } });
    shareChangedRecords(now);
}

void forwarding_reducer::recordAnswerPiece(instant now, request_state& request)
{
    if (++request.answerPieces == soundAnswerPieces)
        recordSound(now, request);
}

void forwarding_reducer::recordSound(instant now, const request_state& request)
{
    for (const suspect_key& key : request.suspects) {
        if (!m_crashes.recordSound(now, key))
            continue;
        m_effects.emplace_back(log_decision { "suspect_cleared", request.caller.sendId, { { "suspect", suspectText(key) } } });
        if (m_storedSuspects.contains(key))
            m_effects.emplace_back(remove_stored_crash_record { key });
    }
}

std::optional<forwarding_reducer::suspicion> forwarding_reducer::suspicionAgainst(instant now, request_number number, const request_state& request)
{
    for (const suspect_key& key : request.suspects) {
        const suspect_verdict verdict = m_crashes.verdict(now, key);
        if (verdict == suspect_verdict::Unsuspected)
            continue;
        const bool isConvicted = verdict == suspect_verdict::Convicted;
        const bool waitsForTrial = isConvicted || endangersGroup(request, key);
        if (!waitsForTrial && isAlone(number, key))
            continue;
        if (waitsForTrial && m_crashes.startTrial(now, key)) {
            m_effects.emplace_back(log_decision { "suspect_tried", request.caller.sendId, { { "suspect", suspectText(key) } } });
            continue;
        }
        if (m_crashes.recordRefusal(now, key))
            m_unstoredSuspects.try_emplace(key, now);
        if (isConvicted)
            return suspicion { refusal_reason::BreaksEndpoints, {} };
        const auto nextTrial = waitsForTrial ? m_crashes.nextTrial(key) : std::nullopt;
        return suspicion { refusal_reason::SuspectRunning, nextTrial ? *nextTrial - now : longRetryAfter() };
    }
    return std::nullopt;
}

bool forwarding_reducer::endangersGroup(const request_state& request, const suspect_key& key) const
{
    const service_description* const service = request.routes->service(request.service);
    return key.kind == suspect_kind::Request && service != nullptr && service->experts.has_value();
}

bool forwarding_reducer::isAlone(request_number number, const suspect_key& key) const
{
    const std::vector<request_number> others = requestsAwaitingAnswer(key);
    return std::all_of(others.begin(), others.end(), [number](request_number other) { return other == number; });
}

std::vector<request_number> forwarding_reducer::requestsAwaitingAnswer(const suspect_key& key) const
{
    std::vector<request_number> found;
    for (const auto& [number, request] : m_requests) {
        const bool holdsKey = std::find(request.suspects.begin(), request.suspects.end(), key) != request.suspects.end();
        if (holdsKey && request.answerPieces < soundAnswerPieces && !request.currentEndpoint.empty())
            found.push_back(number);
    }
    return found;
}

void forwarding_reducer::refuseNewlyConvicted(instant now)
{
    for (const auto& [key, isOwn] : m_crashes.takeNewConvictions()) {
        m_effects.emplace_back(log_decision { "suspect_convicted", {}, { { "suspect", suspectText(key) } } });
        m_unstoredSuspects.try_emplace(key, isOwn ? now : now + minStoreDelay + scaled(storeDelayJitter, randomFraction()));
        for (const request_number number : requestsAwaitingAnswer(key)) {
            m_fleet.recordCancellation(m_requests.at(number).currentEndpoint);
            m_effects.emplace_back(cancel_forwarded_request { number });
            refuse(number, m_requests.at(number), refusal_reason::OutcomeUnknown, {});
            forget(number);
        }
    }
}

// At once after a death, but for the further deaths where many endpoints die together.
void forwarding_reducer::shareChangedRecords(instant now)
{
    if (now - m_changedRecordsSharedAt < changedSharingInterval)
        return;
    std::vector<crash_record> changed = m_crashes.takeChanged(now);
    if (changed.empty())
        return;
    m_changedRecordsSharedAt = now;
    m_effects.emplace_back(share_crash_records { std::move(changed), record_recipients::AllEntries });
}

void forwarding_reducer::shareCrashRecords(instant now)
{
    shareChangedRecords(now);
    if (now - m_crashRecordsSharedAt < sharingInterval || m_crashes.size() == 0)
        return;
    m_crashRecordsSharedAt = now;
    std::vector<crash_record> records = m_crashes.records(now);
    std::erase_if(records, [](const crash_record& record) { return !record.convictedAge && record.seenAge > suspectsSharedFor; });
    records.resize(std::min(records.size(), maxSharedRecords));
    if (!records.empty())
        m_effects.emplace_back(share_crash_records { std::move(records), record_recipients::SomeEntries });
}

std::vector<crash_record> forwarding_reducer::recordsForStartingEntry(instant now) const
{
    std::vector<crash_record> records = m_crashes.records(now);
    records.resize(std::min(records.size(), maxSharedRecords));
    return records;
}

// Requests are stored once they are convicted, or come again and are refused: most of those that an endpoint ran when it died
// never do. Parts are shared by many, and the few that were not seen to be sound are stored with their first death.
bool forwarding_reducer::shouldStore(const crash_record& record) const
{
    const auto stored = m_storedSuspects.find(record.key);
    const stored_suspect row = stored == m_storedSuspects.end() ? stored_suspect {} : stored->second;
    if (record.convictedAge && !row.isConvicted)
        return true;
    const bool isKnownSound = record.soundAge && *record.soundAge < crash_ledger::soundMemory;
    const bool mayComeAgain = record.key.kind == suspect_kind::PromptPart ? !isKnownSound : !record.convictedAge;
    return mayComeAgain && record.deaths.size() > row.deaths;
}

void forwarding_reducer::storeSuspects(instant now)
{
    for (const suspect_key& key : m_crashes.removeExpired(now)) {
        if (m_storedSuspects.contains(key))
            m_expiredRows.try_emplace(key, now + scaled(storeDelayJitter, randomFraction()));
    }
    std::erase_if(m_expiredRows, [&](const auto& entry) {
        if (now < entry.second)
            return false;
        if (m_storedSuspects.contains(entry.first) && !m_crashes.record(now, entry.first))
            m_effects.emplace_back(remove_stored_crash_record { entry.first });
        return true;
    });
    std::erase_if(m_unstoredSuspects, [&](const auto& entry) {
        if (now < entry.second)
            return false;
        if (const auto record = m_crashes.record(now, entry.first); record && shouldStore(*record))
            m_effects.emplace_back(store_crash_record { *record });
        return true;
    });
}

bool forwarding_reducer::areConvictionsKnown(instant now) const { return m_crashTableRead || now - m_startedAt >= convictionsAwaitedFor; }

void forwarding_reducer::on(const crash_records_received& event)
{
    m_crashes.merge(event.now, event.records, m_newsDelay);
    refuseNewlyConvicted(event.now);
}

void forwarding_reducer::on(const crash_table_read& event)
{
    if (event.isWhole) {
        m_crashTableRead = true;
        m_storedSuspects.clear();
    }
    for (const suspect_key& key : event.removed)
        m_storedSuspects.erase(key);
    for (const crash_record& record : event.records)
        m_storedSuspects[record.key] = { record.deaths.size(), record.convictedAge.has_value() };
    m_crashes.merge(event.now, event.records, crash_ledger::unknownDelay);
    // The store may have come back from an older copy.
    for (const suspect_key& key : m_crashes.convicted()) {
        const auto stored = m_storedSuspects.find(key);
        if (stored == m_storedSuspects.end() || !stored->second.isConvicted)
            m_unstoredSuspects.try_emplace(key, event.now + minStoreDelay + scaled(storeDelayJitter, randomFraction()));
    }
    refuseNewlyConvicted(event.now);
}

void forwarding_reducer::on(const endpoint_death_reported& event)
{
    if (const auto endpoint = m_fleet.atAddress(event.address, event.startedAtMs))
        recordDeath(event.now, *endpoint, "agent");
}

void forwarding_reducer::on(const endpoint_probed& event)
{
    if (event.refused)
        recordDeath(event.now, event.endpoint, "probe");
}

} // namespace appleramp
