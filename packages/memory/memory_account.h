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

    // Whether one more holder of that size fits.
    bool hasRoomFor(std::size_t bytes) const { return m_heldBytes + bytes <= shareOf(bytes); }
    // Whether all holders together take more than one of that size may see taken, itself included.
    bool isShortFor(std::size_t ownBytes) const { return m_heldBytes > shareOf(ownBytes); }

    std::size_t heldBytes() const { return m_heldBytes; }
    std::size_t limitBytes() const { return m_limitBytes; }

private:
    friend class memory_charge;

    std::size_t shareOf(std::size_t holderBytes) const;

    std::size_t m_limitBytes;
    std::size_t m_heldBytes = 0;
};

} // namespace appleramp
