#include "wire/cbor_structure.h"

#include "wire/wire_error.h"

#include <array>
#include <cstdint>

namespace appleramp {

namespace {

constexpr std::size_t maxDepth = 32;

enum class major_type {
    UnsignedInteger,
    NegativeInteger,
    ByteString,
    TextString,
    Array,
    Map,
    Tag,
    Simple,
};

// Additional information: the low five bits of an item's first byte (RFC 8949, section 3). Up to 23 it is the argument
// itself; 24 to 27 give the number of argument bytes that follow.
constexpr std::uint8_t maxDirectArgument = 23;
constexpr std::uint8_t maxArgumentSize = 27;
constexpr std::uint8_t additionalInfoMask = 0x1f;
constexpr int majorShift = 5;

struct item_head {
    major_type major = major_type::Simple;
    std::uint64_t argument = 0;
};

// Visits the heads of all items without recursion and skips the contents of strings.
class structure_checker {
public:
    explicit structure_checker(std::string_view bytes)
        : m_rest(bytes)
    {
    }

    void run()
    {
        // Number of items still expected at each depth; replaces a call stack.
        m_expectedItems[0] = 1;
        while (true) {
            while (m_expectedItems.at(m_depth) == 0) {
                if (m_depth == 0)
                    return checkEnd();
                --m_depth;
            }
            --m_expectedItems.at(m_depth);
            checkItem(readHead());
        }
    }

private:
    [[noreturn]] static void fail(const char* problem)
    {
        throw wire_error(std::string("invalid link message: ") + problem);
    }

    void checkEnd() const
    {
        if (!m_rest.empty())
            fail("extra bytes after its end");
    }

    std::uint8_t readByte()
    {
        if (m_rest.empty())
            fail("truncated");
        const auto byte = static_cast<std::uint8_t>(m_rest.front());
        m_rest.remove_prefix(1);
        return byte;
    }

    item_head readHead()
    {
        const std::uint8_t first = readByte();
        const std::uint8_t additionalInfo = first & additionalInfoMask;
        item_head head { static_cast<major_type>(first >> majorShift), additionalInfo };
        if (additionalInfo > maxArgumentSize)
            fail("item of indefinite length");
        if (additionalInfo <= maxDirectArgument)
            return head;
        head.argument = 0;
        for (int bytes = 1 << (additionalInfo - maxDirectArgument - 1); bytes > 0; --bytes)
            head.argument = head.argument << 8U | readByte();
        return head;
    }

    void checkItem(const item_head& head)
    {
        switch (head.major) {
        case major_type::ByteString:
        case major_type::TextString:
            return skip(head.argument);
        case major_type::Array:
            return descend(head.argument, 1);
        case major_type::Map:
            return descend(head.argument, 2);
        case major_type::Tag:
            fail("tagged item");
        case major_type::UnsignedInteger:
        case major_type::NegativeInteger:
        case major_type::Simple:
            return;
        }
    }

    void skip(std::uint64_t length)
    {
        if (length > m_rest.size())
            fail("truncated");
        m_rest.remove_prefix(length);
    }

    void descend(std::uint64_t length, std::uint64_t itemsPerEntry)
    {
        // Every item takes at least one byte.
        if (length > m_rest.size())
            fail("truncated");
        if (m_depth + 1 == maxDepth)
            fail("nested too deeply");
        m_expectedItems.at(++m_depth) = length * itemsPerEntry;
    }

    std::string_view m_rest;
    std::array<std::uint64_t, maxDepth> m_expectedItems {};
    std::size_t m_depth = 0;
};

} // namespace

void checkCborStructure(std::string_view bytes) { structure_checker(bytes).run(); }

} // namespace appleramp
