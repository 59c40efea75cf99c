#pragma once

#include <cstddef>

namespace appleramp {

// Counts the bytes that a process holds for callers and endpoints, against a limit.
//
// Holders of more than smallBytes may use three quarters of the limit only, so that ordinary requests find room beside a few large ones.
class memory_account {
public:
    static constexpr std::size_t smallBytes = 64UL * 1024;

    explicit memory_account(std::size_t limitBytes);

    // Whether a holder that will have that size in all has room for these bytes more.
    bool hasRoomFor(std::size_t bytes, std::size_t holderBytes) const { return m_heldBytes + bytes <= shareOf(holderBytes); }

    std::size_t heldBytes() const { return m_heldBytes; }
    std::size_t limitBytes() const { return m_limitBytes; }

private:
    friend class memory_charge;

    std::size_t shareOf(std::size_t holderBytes) const;

    std::size_t m_limitBytes;
    std::size_t m_heldBytes = 0;
};

} // namespace appleramp
