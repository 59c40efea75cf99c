#pragma once

#include "decisions/keys/issued_key.h"
#include "model/messages.h"

#include <deque>
#include <optional>

namespace appleramp {

// Grants blocks of key numbers to entries, and validates issued keys against the blocks that this incarnation of the agent
// has granted. attempt_ledger records which keys were used.
class key_grants {
public:
    enum class key_status {
        Valid,
        // Past its expiry: a request that has not started with this key never will.
        Expired,
        // The ledger may have removed attempts that arrived after the grant, so the key may have been used.
        Forgotten,
        // This incarnation has not granted the key.
        Invalid,
    };

    grant_key_block grant(std::uint32_t count, instant now);
    // `lastForgotten` is the arrival time of the newest keyed attempt that the ledger has removed.
    key_status validate(const issued_key& key, instant now, std::optional<instant> lastForgotten) const;
    // Removes the blocks granted at this time or earlier; their keys count as forgotten.
    void forgetThrough(instant lastForgotten);

private:
    struct granted_block {
        std::uint64_t first = 0;
        std::uint32_t count = 0;
        instant grantedAt;
        instant expires;
    };

    // In ascending order of `first`.
    std::deque<granted_block> m_blocks;
    std::uint64_t m_nextNumber = 1;
};

} // namespace appleramp
