#pragma once

#include "model/identifiers.h"
#include "model/messages.h"
#include "model/time.h"

#include <deque>
#include <map>
#include <optional>

namespace appleramp {

// The agent's memory of attempts: each may start at most once, and one that was asked after before it came never
// starts. Works with attempt_runner; the whole memory ends with the agent's incarnation.
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
    };

    // Records the attempt as running if it may start.
    verdict begin(attempt_id attempt, const std::optional<idempotency_key>& key, instant now);
    // Records an attempt as never to start, whether or not it comes later.
    void refuse(attempt_id attempt, instant now);
    void finish(attempt_id attempt, attempt_state outcome);
    // Puts a tombstone if the attempt has not come, then tells its state.
    attempt_state query(attempt_id attempt, instant now);

    // Forgets what is older than the retention and no longer running.
    void forgetBefore(instant oldest);
    std::size_t size() const { return m_attempts.size(); }

private:
    struct remembered {
        attempt_state state = attempt_state::NeverStarted;
        std::optional<idempotency_key> key;
    };
    struct arrival {
        instant at;
        attempt_id attempt;
    };

    void remember(attempt_id attempt, remembered entry, instant now);

    std::map<attempt_id, remembered> m_attempts;
    std::map<idempotency_key, attempt_id> m_byKey;
    std::deque<arrival> m_arrivals;
};

} // namespace appleramp
