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

// Values of the low five bits of an item's first byte (RFC 8949, section 3).
constexpr std::uint8_t lastDirectArgument = 23;
constexpr std::uint8_t lastArgumentSize = 27;
constexpr std::uint8_t argumentBits = 0x1f;
constexpr int majorShift = 5;

struct item_head {
    major_type major = major_type::Simple;
    std::uint64_t argument = 0;
};

// Walks over the heads of all items without recursion; contents of strings are skipped.
class structure_checker {
public:
    explicit structure_checker(std::string_view bytes)
        : m_rest(bytes)
    {
    }

    void run()
    {
        // The stack holds how many items are still missing at each depth.
        m_missing[0] = 1;
        while (true) {
            while (m_missing.at(m_depth) == 0) {
                if (m_depth == 0)
                    return checkEnd();
                --m_depth;
            }
            --m_missing.at(m_depth);
            enter(readHead());
        }
    }

private:
    [[noreturn]] static void fail(const char* problem)
    {
        throw wire_error(std::string("link message does not decode: ") + problem);
    }

    void checkEnd() const
    {
        if (!m_rest.empty())
            fail("bytes after its end");
    }

    std::uint8_t readByte()
    {
        if (m_rest.empty())
            fail("it is truncated");
        const auto byte = static_cast<std::uint8_t>(m_rest.front());
        m_rest.remove_prefix(1);
        return byte;
    }

    item_head readHead()
    {
        const std::uint8_t first = readByte();
        const std::uint8_t low = first & argumentBits;
        item_head head { static_cast<major_type>(first >> majorShift), low };
        if (low > lastArgumentSize)
            fail("it holds an item of indefinite length");
        if (low <= lastDirectArgument)
            return head;
        head.argument = 0;
        for (int bytes = 1 << (low - lastDirectArgument - 1); bytes > 0; --bytes)
            head.argument = head.argument << 8U | readByte();
        return head;
    }

    void enter(const item_head& head)
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
            fail("it holds a tag");
        case major_type::UnsignedInteger:
        case major_type::NegativeInteger:
        case major_type::Simple:
            return;
        }
    }

    void skip(std::uint64_t length)
    {
        if (length > m_rest.size())
            fail("it is truncated");
        m_rest.remove_prefix(length);
    }

    void descend(std::uint64_t length, std::uint64_t itemsEach)
    {
        // Every item takes a byte at least.
        if (length > m_rest.size())
            fail("it is truncated");
        if (m_depth + 1 == maxDepth)
            fail("it is nested too deeply");
        m_missing.at(++m_depth) = length * itemsEach;
    }

    std::string_view m_rest;
    std::array<std::uint64_t, maxDepth> m_missing {};
    std::size_t m_depth = 0;
};

} // namespace

void checkCborStructure(std::string_view bytes) { structure_checker(bytes).run(); }

} // namespace appleramp
