#pragma once

#include "model/identifiers.h"
#include "model/messages.h"
#include "model/request.h"
#include "model/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace appleramp {

// Deduplicates attempts at an agent: each may start at most once, and one whose state was queried before it arrived never
// starts. The records live in memory only and end with the agent's incarnation. They are removed after their retention;
// the ledger never reports a removed attempt as not started. Used by attempt_runner.
class attempt_ledger {
public:
    enum class start_decision {
        Start,
        // The same attempt has arrived before and started; it is running or has ended.
        Duplicate,
        // A tombstone forbids the attempt to start.
        Tombstoned,
        // Another attempt with the same key and content has started here.
        KeyUsed,
        // The key has started here with other content.
        KeyReused,
        // The record may have been removed, so the attempt may have started.
        Forgotten,
    };
    // An attempt's idempotency key and the hash of the request content that it identifies.
    struct keyed_content {
        idempotency_key key;
        std::uint64_t contentHash = 0;
    };

    // Returns what begin() would return, but records nothing.
    start_decision checkStart(attempt_id attempt, const std::optional<keyed_content>& content) const;
    // Records the attempt as running if it may start. If another attempt has used its key, leaves a tombstone for it.
    start_decision begin(attempt_id attempt, const std::optional<keyed_content>& content, instant now);
    // Leaves a tombstone: the attempt never starts, even if it arrives later. Has no effect on an attempt that has a record.
    // Must not be called for a forgotten one.
    void leaveTombstone(attempt_id attempt, bool keyed, instant now);
    void finish(attempt_id attempt, attempt_state outcome);
    // Returns the attempt's state, after leaving a tombstone if it has not arrived yet.
    attempt_state query(attempt_id attempt, instant now);
    // Returns the attempt's state if it is known; leaves no tombstone.
    std::optional<attempt_state> find(attempt_id attempt) const;
    // The attempt that has started with this key, if any.
    std::optional<attempt_id> findStarted(const idempotency_key& key) const;

    // Removes the records of ended attempts that arrived before these times, oldest first. Stops at the first attempt that
    // is still running.
    void forgetBefore(instant oldestKeyed, instant oldestRepeatable);
    // Arrival time of the newest keyed attempt that was removed; all later ones have a record. Empty if none was removed.
    std::optional<instant> lastForgotten() const { return m_lastForgotten; }
    std::size_t size() const { return m_attempts.size(); }

private:
    struct attempt_record {
        attempt_state state = attempt_state::NeverStarted;
        std::optional<keyed_content> content;
    };
    struct arrival {
        instant arrivedAt;
        attempt_id attempt;
    };

    void remember(attempt_id attempt, attempt_record record, bool keyed, instant now);
    bool isForgotten(attempt_id attempt) const;
    void forget(attempt_id attempt);
    void recordForgotten(attempt_id attempt);

    std::map<attempt_id, attempt_record> m_attempts;
    std::map<idempotency_key, attempt_id> m_byKey;
    // In order of arrival. Repeatable attempts have a shorter retention.
    std::deque<arrival> m_keyedArrivals;
    std::deque<arrival> m_repeatableArrivals;
    // The highest removed attempt number of each entry incarnation; entries number their attempts in ascending order.
    std::map<incarnation, std::uint64_t> m_highestForgotten;
    // Every attempt of this entry incarnation or an earlier one counts as forgotten.
    incarnation m_forgottenThroughIncarnation = 0;
    std::optional<instant> m_lastForgotten;
};

// The key and content hash under which the ledger records the request; empty if it is repeatable. An issued key does not
// contain the team, so the team is part of the content hash.
std::optional<attempt_ledger::keyed_content> keyedContentOf(const service_request& request);

} // namespace appleramp
