#pragma once

#include "decisions/keys/issued_key.h"
#include "model/messages.h"

#include <deque>
#include <optional>

namespace appleramp {

// The blocks of key numbers that this life of an agent has granted. Works with attempt_ledger, which remembers the
// numbers that were used.
class key_grants {
public:
    enum class standing {
        Valid,
        // Past its expiry: what has not started will never start.
        Expired,
        // The ledger's memory no longer reaches back to the grant.
        Forgotten,
        // This life granted no such key.
        Invalid,
    };

    grant_key_block grant(std::uint32_t count, instant now);
    // `lastForgotten` is the arrival of the newest keyed attempt that the ledger has forgotten.
    standing judge(const issued_key& key, instant now, std::optional<instant> lastForgotten) const;
    // Drops the blocks that are past the ledger's memory.
    void forgetThrough(instant lastForgotten);

private:
    struct granted_block {
        std::uint64_t first = 0;
        std::uint32_t count = 0;
        instant granted;
        instant expires;
    };

    // In ascending order.
    std::deque<granted_block> m_blocks;
    std::uint64_t m_next = 1;
};

} // namespace appleramp
