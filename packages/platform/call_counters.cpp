#include "platform/call_counters.h"

#include <cassert>
#include <utility>

namespace appleramp {

namespace {

using kind_names = std::array<std::string_view, call_counters::kindCount>;

template <std::size_t... Kinds>
kind_names kindNames(std::index_sequence<Kinds...>)
{
    return { std::variant_alternative_t<Kinds, platform_call>::name... };
}

template <typename Call>
constexpr bool isWriteKind = std::is_same_v<Call, table_put> || std::is_same_v<Call, table_remove> || std::is_same_v<Call, object_put>;

template <std::size_t... Kinds>
std::uint64_t sumWrites(const std::array<call_counts, call_counters::kindCount>& sent, std::index_sequence<Kinds...>)
{
    return (... + (isWriteKind<std::variant_alternative_t<Kinds, platform_call>> ? sent[Kinds].total() : 0));
}

} // namespace

bool isWrite(const platform_call& call)
{
    return std::visit([](const auto& alternative) { return isWriteKind<std::decay_t<decltype(alternative)>>; }, call);
}

void call_counters::countSent(const platform_call& call, platform_status status)
{
    auto& counts = m_sent[call.index()];
    switch (status) {
    case platform_status::Done:
        ++counts.done;
        break;
    case platform_status::Conflict:
        ++counts.conflict;
        break;
    case platform_status::NotFound:
        ++counts.notFound;
        break;
    case platform_status::Unavailable:
        ++counts.unavailable;
        break;
    case platform_status::Unknown:
        ++counts.unknown;
        break;
    }
}

void call_counters::countUnsent(const platform_call& call)
{
    ++m_unsent[call.index()];
}

std::string_view call_counters::kindName(std::size_t kind)
{
    assert(kind < kindCount);
    return kindNames(std::make_index_sequence<kindCount>())[kind];
}

std::uint64_t call_counters::writes() const
{
    return sumWrites(m_sent, std::make_index_sequence<kindCount>());
}

std::uint64_t call_counters::reads() const
{
    std::uint64_t total = 0;
    for (const auto& counts : m_sent)
        total += counts.total();
    return total - writes();
}

} // namespace appleramp
