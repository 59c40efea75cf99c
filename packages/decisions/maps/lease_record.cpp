#include "decisions/maps/lease_record.h"

#include "decisions/maps/maps_error.h"

#include <charconv>
#include <system_error>

namespace appleramp {

namespace {

// Parses a number and the space after it, and removes both from the text.
std::uint64_t parseNumber(std::string_view& text)
{
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc() || end == text.data() + text.size() || *end != ' ')
        throw maps_error("the lease row is malformed");
    text.remove_prefix(std::size_t(end - text.data()) + 1);
    return number;
}

} // namespace

std::string leaseKey(const group_id& group)
{
    return "maps/lease/" + group.str();
}

std::string encodeLease(const lease_record& record)
{
    return std::to_string(record.fencing) + " " + std::to_string(record.renewal) + " " + record.holder;
}

lease_record decodeLease(std::string_view value)
{
    lease_record record;
    record.fencing = parseNumber(value);
    record.renewal = parseNumber(value);
    record.holder = value;
    return record;
}

} // namespace appleramp
