#include "decisions/keys/attempt_ledger.h"

#include <cassert>

namespace appleramp {

attempt_ledger::verdict attempt_ledger::begin(attempt_id attempt, const std::optional<idempotency_key>& key, instant now)
{
    const auto known = m_attempts.find(attempt);
    if (known != m_attempts.end())
        return known->second.state == attempt_state::NeverStarted ? verdict::Refused : verdict::Repeated;
    if (key && m_byKey.contains(*key)) {
        refuse(attempt, now);
        return verdict::KeyUsed;
    }
    remember(attempt, { attempt_state::Running, key }, now);
    if (key)
        m_byKey.emplace(*key, attempt);
    return verdict::Start;
}

void attempt_ledger::refuse(attempt_id attempt, instant now)
{
    if (!m_attempts.contains(attempt))
        remember(attempt, { attempt_state::NeverStarted, std::nullopt }, now);
}

void attempt_ledger::finish(attempt_id attempt, attempt_state outcome)
{
    const auto known = m_attempts.find(attempt);
    assert(known != m_attempts.end() && known->second.state == attempt_state::Running);
    known->second.state = outcome;
    // The endpoint began nothing, so another attempt may have the key.
    if (outcome == attempt_state::NeverStarted && known->second.key)
        m_byKey.erase(*known->second.key);
}

attempt_state attempt_ledger::query(attempt_id attempt, instant now)
{
    refuse(attempt, now);
    return m_attempts.at(attempt).state;
}

void attempt_ledger::forgetBefore(instant oldest)
{
    while (!m_arrivals.empty() && m_arrivals.front().at < oldest) {
        const auto known = m_attempts.find(m_arrivals.front().attempt);
        if (known->second.state == attempt_state::Running)
            return;
        if (known->second.key)
            m_byKey.erase(*known->second.key);
        m_attempts.erase(known);
        m_arrivals.pop_front();
    }
}

void attempt_ledger::remember(attempt_id attempt, remembered entry, instant now)
{
    m_attempts.emplace(attempt, std::move(entry));
    m_arrivals.push_back({ now, attempt });
}

} // namespace appleramp
