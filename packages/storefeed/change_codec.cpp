#include "storefeed/change_codec.h"

#include <nlohmann/json.hpp>

#include <array>
#include <charconv>

namespace appleramp {

namespace {

using nlohmann::json;

constexpr std::string_view pathPrefix = "/v1/table-changes/";

std::optional<std::uint64_t> numberOf(std::string_view text)
{
    std::uint64_t value = 0;
    const auto end = std::from_chars(text.data(), text.data() + text.size(), value);
    return text.empty() || end.ec != std::errc {} || end.ptr != text.data() + text.size() ? std::nullopt : std::optional(value);
}

} // namespace

std::string encodeChangesTarget(const changes_question& question)
{
    return std::string(pathPrefix) + question.table + '/' + std::to_string(question.generation) + '/' + std::to_string(question.afterVersion);
}

std::optional<changes_question> decodeChangesTarget(std::string_view target)
{
    if (!target.starts_with(pathPrefix))
        return std::nullopt;
    target.remove_prefix(pathPrefix.size());
    const auto second = target.rfind('/');
    const auto first = second == std::string_view::npos || second == 0 ? std::string_view::npos : target.rfind('/', second - 1);
    if (first == std::string_view::npos)
        return std::nullopt;
    const auto generation = numberOf(target.substr(first + 1, second - first - 1));
    const auto after = numberOf(target.substr(second + 1));
    if (!generation || !after)
        return std::nullopt;
    return changes_question { std::string(target.substr(0, first)), *generation, *after };
}

std::string encodeChanges(const store_rows& rows)
{
    json list = json::array();
    for (const store_row& row : rows.rows)
        list.push_back({ row.key, json::binary({ row.value.begin(), row.value.end() }), row.version, row.removed });
    const json document { { "g", rows.generation }, { "v", rows.version }, { "a", rows.age.value_or(duration::zero()).count() }, { "r", std::move(list) } };
    const auto bytes = json::to_cbor(document);
    return { bytes.begin(), bytes.end() };
}

std::optional<store_rows> decodeChanges(std::string_view bytes)
{
    try {
        const json document = json::from_cbor(bytes, true, false);
        if (!document.is_object())
            return std::nullopt;
        store_rows rows;
        rows.generation = document.at("g").get<std::uint64_t>();
        rows.version = document.at("v").get<std::uint64_t>();
        rows.age = duration(document.at("a").get<duration::rep>());
        for (const json& row : document.at("r")) {
            const auto& value = row.at(1).get_binary();
            rows.rows.push_back({ row.at(0).get<std::string>(), { value.begin(), value.end() }, row.at(2).get<std::uint64_t>(), row.at(3).get<bool>() });
        }
        return *rows.age < duration::zero() ? std::nullopt : std::optional(std::move(rows));
    } catch (const json::exception&) {
        // From another version of the program, or damaged.
        return std::nullopt;
    }
}

} // namespace appleramp
