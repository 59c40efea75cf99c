#include "decisions/keys/attempt_ledger.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace appleramp {

namespace {

constexpr std::size_t maxTrackedIncarnations = 65536;

} // namespace

attempt_ledger::start_decision attempt_ledger::checkStart(attempt_id attempt, const std::optional<keyed_content>& content) const
{
    const auto known = m_attempts.find(attempt);
    if (known != m_attempts.end())
        return known->second.state == attempt_state::NeverStarted ? start_decision::Tombstoned : start_decision::Duplicate;
    if (isForgotten(attempt))
        return start_decision::Forgotten;
    if (!content)
        return start_decision::Start;
    const auto started = m_byKey.find(content->key);
    if (started == m_byKey.end())
        return start_decision::Start;
    const bool sameContent = m_attempts.at(started->second).content->contentHash == content->contentHash;
    return sameContent ? start_decision::KeyUsed : start_decision::KeyReused;
}

attempt_ledger::start_decision attempt_ledger::begin(attempt_id attempt, const std::optional<keyed_content>& content,
    instant now)
{
    const auto result = checkStart(attempt, content);
    if (result == start_decision::KeyUsed || result == start_decision::KeyReused)
        leaveTombstone(attempt, true, now);
    if (result != start_decision::Start)
        return result;
    remember(attempt, { attempt_state::Running, content }, content.has_value(), now);
    if (content)
        m_byKey.emplace(content->key, attempt);
    return start_decision::Start;
}

void attempt_ledger::leaveTombstone(attempt_id attempt, bool keyed, instant now)
{
    assert(!isForgotten(attempt) || m_attempts.contains(attempt));
    if (!m_attempts.contains(attempt))
        remember(attempt, { attempt_state::NeverStarted, std::nullopt }, keyed, now);
}

void attempt_ledger::finish(attempt_id attempt, attempt_state outcome)
{
    const auto known = m_attempts.find(attempt);
    assert(known != m_attempts.end() && known->second.state == attempt_state::Running);
    known->second.state = outcome;
    // The endpoint has not executed anything, so another attempt may use the key.
    if (outcome == attempt_state::NeverStarted && known->second.content)
        m_byKey.erase(known->second.content->key);
}

attempt_state attempt_ledger::query(attempt_id attempt, instant now)
{
    if (const auto known = find(attempt))
        return *known;
    leaveTombstone(attempt, true, now);
    return attempt_state::NeverStarted;
}

std::optional<attempt_state> attempt_ledger::find(attempt_id attempt) const
{
    const auto known = m_attempts.find(attempt);
    if (known != m_attempts.end())
        return known->second.state;
    return isForgotten(attempt) ? std::optional(attempt_state::Forgotten) : std::nullopt;
}

std::optional<attempt_id> attempt_ledger::findStarted(const idempotency_key& key) const
{
    const auto started = m_byKey.find(key);
    return started == m_byKey.end() ? std::nullopt : std::optional(started->second);
}

void attempt_ledger::forgetBefore(instant oldestKeyed, instant oldestRepeatable)
{
    const auto isRunning = [this](attempt_id attempt) {
        return m_attempts.at(attempt).state == attempt_state::Running;
    };
    while (!m_keyedArrivals.empty() && m_keyedArrivals.front().arrivedAt < oldestKeyed && !isRunning(m_keyedArrivals.front().attempt)) {
        m_lastForgotten = m_keyedArrivals.front().arrivedAt;
        recordForgotten(m_keyedArrivals.front().attempt);
        forget(m_keyedArrivals.front().attempt);
        m_keyedArrivals.pop_front();
    }
    while (!m_repeatableArrivals.empty() && m_repeatableArrivals.front().arrivedAt < oldestRepeatable
        && !isRunning(m_repeatableArrivals.front().attempt)) {
        forget(m_repeatableArrivals.front().attempt);
        m_repeatableArrivals.pop_front();
    }
}

void attempt_ledger::remember(attempt_id attempt, attempt_record record, bool keyed, instant now)
{
    m_attempts.emplace(attempt, std::move(record));
    (keyed ? m_keyedArrivals : m_repeatableArrivals).push_back({ now, attempt });
}

bool attempt_ledger::isForgotten(attempt_id attempt) const
{
    if (attempt.entry <= m_forgottenThroughIncarnation)
        return true;
    const auto highest = m_highestForgotten.find(attempt.entry);
    return highest != m_highestForgotten.end() && attempt.number <= highest->second;
}

void attempt_ledger::forget(attempt_id attempt)
{
    const auto known = m_attempts.find(attempt);
    const auto& content = known->second.content;
    if (content) {
        const auto started = m_byKey.find(content->key);
        if (started != m_byKey.end() && started->second == attempt)
            m_byKey.erase(started);
    }
    m_attempts.erase(known);
}

void attempt_ledger::recordForgotten(attempt_id attempt)
{
    auto& highest = m_highestForgotten[attempt.entry];
    highest = std::max(highest, attempt.number);
    if (m_highestForgotten.size() <= maxTrackedIncarnations)
        return;
    m_forgottenThroughIncarnation = std::max(m_forgottenThroughIncarnation, m_highestForgotten.begin()->first);
    m_highestForgotten.erase(m_highestForgotten.begin());
}

std::optional<attempt_ledger::keyed_content> keyedContentOf(const service_request& request)
{
    if (request.repeatable || !request.key)
        return std::nullopt;
    const auto& team = request.team.str();
    return attempt_ledger::keyed_content { *request.key, XXH64(team.data(), team.size(), request.contentHash) };
}

} // namespace appleramp
