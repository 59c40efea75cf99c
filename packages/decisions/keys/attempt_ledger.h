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

// The agent's memory of attempts: each may start at most once, and one that was asked after before it came never
// starts. Works with attempt_runner; the whole memory ends with the agent's incarnation. What is past the retention is
// forgotten, and of that the ledger never claims that it did not start.
class attempt_ledger {
public:
    enum class verdict {
        Start,
        // The same attempt came again while or after it ran.
        Repeated,
        // A tombstone stands for it.
        Refused,
        // Another attempt with the same key has started here.
        KeyUsed,
        // The key has started here with other content.
        KeyReused,
        // Too old to know: it may have started.
        Forgotten,
    };
    // The key of an attempt with the content that it stands for.
    struct keyed_content {
        idempotency_key key;
        std::uint64_t contentHash = 0;
    };

    // What begin() would say, without a record.
    verdict judge(attempt_id attempt, const std::optional<keyed_content>& content) const;
    // Records the attempt as running if it may start, and else as never to start unless it has.
    verdict begin(attempt_id attempt, const std::optional<keyed_content>& content, instant now);
    // Records an attempt as never to start, whether or not it comes later. Not for one that has started or is forgotten.
    void refuse(attempt_id attempt, bool keyed, instant now);
    void finish(attempt_id attempt, attempt_state outcome);
    // Puts a tombstone if the attempt has not come, then tells its state.
    attempt_state query(attempt_id attempt, instant now);
    // What is known of the attempt, if anything; puts no tombstone.
    std::optional<attempt_state> find(attempt_id attempt) const;
    // The attempt that started with this key, if one did.
    std::optional<attempt_id> startedWith(const idempotency_key& key) const;

    // Forgets what came before these times and is no longer running.
    void forgetBefore(instant oldestKeyed, instant oldestRepeatable);
    // Every keyed attempt that came after this time is remembered; nothing has been forgotten if it is empty.
    std::optional<instant> lastForgotten() const { return m_lastForgotten; }
    std::size_t size() const { return m_attempts.size(); }

private:
    struct remembered {
        attempt_state state = attempt_state::NeverStarted;
        std::optional<keyed_content> content;
    };
    struct arrival {
        instant at;
        attempt_id attempt;
    };

    void remember(attempt_id attempt, remembered entry, bool keyed, instant now);
    bool isForgotten(attempt_id attempt) const;
    void forget(attempt_id attempt);
    void noteForgotten(attempt_id attempt);

    std::map<attempt_id, remembered> m_attempts;
    std::map<idempotency_key, attempt_id> m_byKey;
    // In order of arrival. Repeatable attempts are kept for a shorter time.
    std::deque<arrival> m_keyed;
    std::deque<arrival> m_repeatable;
    // The highest forgotten attempt number of each entry's life; entries number their attempts upwards.
    std::map<incarnation, std::uint64_t> m_forgotten;
    // Every attempt of this life or an earlier one counts as forgotten.
    incarnation m_forgottenLives = 0;
    std::optional<instant> m_lastForgotten;
};

// What the ledger remembers of the request: nothing if it is repeatable. An issued key is not scoped by team, so its
// content is.
std::optional<attempt_ledger::keyed_content> contentOf(const service_request& request);

} // namespace appleramp
