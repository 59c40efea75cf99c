#include "datagrams/packed_lists.h"

#include <algorithm>
#include <bit>
#include <cstddef>
#include <limits>

namespace appleramp {

namespace {

// Each list is preceded by its length.
constexpr std::uint8_t variableLength = 255;
constexpr std::size_t headerBytes = 4;
constexpr unsigned maxBits = std::numeric_limits<expert_number>::digits;
constexpr unsigned bitsPerByte = 8;

class bit_writer {
public:
    bit_writer(std::vector<std::uint8_t>& bytes, unsigned width)
        : m_bytes(bytes)
        , m_width(width)
    {
    }

    void write(std::uint32_t value)
    {
        m_pending |= static_cast<std::uint64_t>(value) << m_pendingBits;
        for (m_pendingBits += m_width; m_pendingBits >= bitsPerByte; m_pendingBits -= bitsPerByte) {
            m_bytes.push_back(static_cast<std::uint8_t>(m_pending));
            m_pending >>= bitsPerByte;
        }
    }

    void finish()
    {
        if (m_pendingBits > 0)
            m_bytes.push_back(static_cast<std::uint8_t>(m_pending));
    }

private:
    std::vector<std::uint8_t>& m_bytes;
    unsigned m_width;
    std::uint64_t m_pending = 0;
    unsigned m_pendingBits = 0;
};

class bit_reader {
public:
    bit_reader(std::span<const std::uint8_t> bytes, unsigned width)
        : m_bytes(bytes)
        , m_width(width)
    {
    }

    std::optional<std::uint32_t> read()
    {
        for (; m_pendingBits < m_width; m_pendingBits += bitsPerByte) {
            if (m_offset == m_bytes.size())
                return std::nullopt;
            m_pending |= static_cast<std::uint64_t>(m_bytes[m_offset++]) << m_pendingBits;
        }
        const auto value = static_cast<std::uint32_t>(m_pending & ((1ULL << m_width) - 1));
        m_pending >>= m_width;
        m_pendingBits -= m_width;
        return value;
    }

private:
    std::span<const std::uint8_t> m_bytes;
    unsigned m_width;
    std::size_t m_offset = 0;
    std::uint64_t m_pending = 0;
    unsigned m_pendingBits = 0;
};

std::uint8_t commonLength(const expert_lists& lists)
{
    const std::size_t length = lists.empty() ? 0 : lists.front().size();
    const bool isCommon = std::all_of(lists.begin(), lists.end(), [length](const auto& list) { return list.size() == length; });
    return isCommon && length < variableLength ? static_cast<std::uint8_t>(length) : variableLength;
}

unsigned widthFor(const expert_lists& lists, bool hasLengths)
{
    std::uint32_t largest = 1;
    for (const auto& list : lists) {
        if (hasLengths)
            largest = std::max(largest, static_cast<std::uint32_t>(list.size()));
        for (const expert_number number : list)
            largest = std::max<std::uint32_t>(largest, number);
    }
    return static_cast<unsigned>(std::bit_width(largest));
}

} // namespace

std::vector<std::uint8_t> packLists(const expert_lists& lists)
{
    const std::uint8_t length = commonLength(lists);
    const unsigned width = widthFor(lists, length == variableLength);
    std::vector<std::uint8_t> bytes { static_cast<std::uint8_t>(width), length, static_cast<std::uint8_t>(lists.size() & 0xffU),
        static_cast<std::uint8_t>(lists.size() >> bitsPerByte) };
    bit_writer writer(bytes, width);
    for (const auto& list : lists) {
        if (length == variableLength)
            writer.write(static_cast<std::uint32_t>(list.size()));
        for (const expert_number number : list)
            writer.write(number);
    }
    writer.finish();
    return bytes;
}

std::optional<expert_lists> unpackLists(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < headerBytes || bytes[0] == 0 || bytes[0] > maxBits)
        return std::nullopt;
    const std::size_t count = bytes[2] | static_cast<std::size_t>(bytes[3]) << bitsPerByte;
    bit_reader reader(bytes.subspan(headerBytes), bytes[0]);
    expert_lists lists(count);
    for (auto& list : lists) {
        const auto length = bytes[1] == variableLength ? reader.read() : std::optional<std::uint32_t>(bytes[1]);
        if (!length)
            return std::nullopt;
        for (std::uint32_t index = 0; index < *length; ++index) {
            const auto number = reader.read();
            if (!number)
                return std::nullopt;
            list.push_back(static_cast<expert_number>(*number));
        }
    }
    return lists;
}

} // namespace appleramp
