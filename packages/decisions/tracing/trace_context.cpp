#include "decisions/tracing/trace_context.h"

#include "decisions/tracing/trace_id_generator.h"

#include <algorithm>
#include <charconv>

namespace appleramp {

namespace {

// Layout of a traceparent: version-traceid-parentid-flags, all in lower-case hexadecimal.
constexpr std::size_t traceparentLength = 55;
constexpr std::size_t versionLength = 2;
constexpr std::size_t traceIdOffset = 3;
constexpr std::size_t spanIdOffset = 36;
constexpr std::size_t flagsOffset = 53;
constexpr std::size_t flagsLength = 2;
constexpr std::size_t idDigits = 16;
constexpr std::uint8_t sampledFlag = 1;

bool isLowerHex(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); }

template <typename Number>
std::optional<Number> parseHex(std::string_view digits)
{
    if (!std::all_of(digits.begin(), digits.end(), isLowerHex))
        return std::nullopt;
    Number value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return value;
}

std::string toHex(std::uint64_t value, std::size_t length)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(length, '0');
    for (std::size_t at = length; at > 0; --at) {
        text[at - 1] = digits[value & 0xf];
        value >>= 4;
    }
    return text;
}

// True if the version is valid and the separators are in place. Later versions may append fields, which are ignored.
bool hasTraceparentShape(std::string_view text)
{
    if (text.size() < traceparentLength)
        return false;
    const auto version = parseHex<std::uint8_t>(text.substr(0, versionLength));
    if (!version || *version == 0xff)
        return false;
    if (text.size() > traceparentLength && (*version == 0 || text[traceparentLength] != '-'))
        return false;
    return text[traceIdOffset - 1] == '-' && text[spanIdOffset - 1] == '-' && text[flagsOffset - 1] == '-';
}

} // namespace

trace_context trace_context::root(trace_id_generator& ids)
{
    trace_context context;
    context.m_traceHigh = ids.next();
    context.m_traceLow = ids.next();
    context.m_span = ids.next();
    context.m_flags = sampledFlag;
    return context;
}

std::optional<trace_context> trace_context::parse(std::string_view text)
{
    if (!hasTraceparentShape(text))
        return std::nullopt;
    const auto high = parseHex<std::uint64_t>(text.substr(traceIdOffset, idDigits));
    const auto low = parseHex<std::uint64_t>(text.substr(traceIdOffset + idDigits, idDigits));
    const auto span = parseHex<std::uint64_t>(text.substr(spanIdOffset, idDigits));
    const auto flags = parseHex<std::uint8_t>(text.substr(flagsOffset, flagsLength));
    if (!high || !low || !span || !flags)
        return std::nullopt;
    if ((*high == 0 && *low == 0) || *span == 0)
        return std::nullopt;
    trace_context context;
    context.m_traceHigh = *high;
    context.m_traceLow = *low;
    context.m_span = *span;
    context.m_flags = *flags & sampledFlag;
    return context;
}

trace_context trace_context::child(trace_id_generator& ids) const
{
    trace_context context = *this;
    context.m_span = ids.next();
    return context;
}

std::string trace_context::str() const { return "00-" + traceId() + '-' + spanId() + '-' + toHex(m_flags, flagsLength); }

std::string trace_context::traceId() const { return toHex(m_traceHigh, idDigits) + toHex(m_traceLow, idDigits); }

std::string trace_context::spanId() const { return toHex(m_span, idDigits); }

trace_context continueTrace(std::string_view traceparent, trace_id_generator& ids)
{
    const auto received = trace_context::parse(traceparent);
    return received ? received->child(ids) : trace_context::root(ids);
}

} // namespace appleramp
