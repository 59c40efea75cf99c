#pragma once

#include "model/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace appleramp {

// What one entry has used of its share of the requests that an endpoint gets in any second, with requests that it lent to other
// entries and borrowed from them.
class share_account {
public:
    // True if one more request is within the share of this entry, or it has borrowed one.
    bool allows(instant now, std::uint32_t share) const;
    // When that will be so; nothing if the entry has no share.
    std::optional<instant> opensAt(instant now, std::uint32_t share) const;
    void recordSend(instant now);
    // Gives a request to another entry, which sends it within `loanValidity` or not at all. Returns false if the share is used up.
    bool lend(instant now, std::uint32_t share);
    // Another entry gave a request, which was asked for at that time.
    void borrow(instant askedAt) { m_borrowedUntil = askedAt + loanValidity; }

    bool hasLoan(instant now) const { return m_borrowedUntil && now < *m_borrowedUntil; }

    // Longer than a second, as requests that leave a second apart may arrive somewhat closer together.
    static constexpr duration window = std::chrono::milliseconds(1020);
    // From the question to the sending of the request.
    static constexpr duration loanValidity = std::chrono::milliseconds(150);

private:
    std::size_t usedSince(instant from) const;
    void removeExpired(instant now);

    // In order of time; what was lent counts from the latest moment at which it may be used.
    std::deque<instant> m_uses;
    std::optional<instant> m_borrowedUntil;
};

} // namespace appleramp
