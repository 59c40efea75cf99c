#include "datagrams/crash_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace appleramp {

namespace {

using nlohmann::json;

// Codes of the kinds of suspects, which keep their meaning in later versions.
constexpr char requestCode = 'r';
constexpr char promptPartCode = 'p';
constexpr std::size_t maxDeathsRead = 16;
// Longer than any record is kept. Larger ages, as of a damaged datagram, are cut.
constexpr std::uint64_t maxAge = std::chrono::duration_cast<duration>(std::chrono::hours(24)).count();

char codeOf(suspect_kind kind)
{
    return kind == suspect_kind::Request ? requestCode : promptPartCode;
}

std::optional<suspect_kind> kindOf(char code)
{
    if (code == requestCode)
        return suspect_kind::Request;
    if (code == promptPartCode)
        return suspect_kind::PromptPart;
    return std::nullopt;
}

void addAge(json& body, const char* member, const std::optional<duration>& age)
{
    if (age)
        body[member] = age->count();
}

duration ageFrom(const json& value) { return duration(static_cast<duration::rep>(std::min(value.get<std::uint64_t>(), maxAge))); }

std::optional<duration> optionalAgeFrom(const json& body, const char* member)
{
    return body.contains(member) ? std::optional(ageFrom(body.at(member))) : std::nullopt;
}

} // namespace

json crashRecordToJson(const crash_record& record)
{
    json deaths = json::array();
    for (const suspected_death& death : record.deaths)
        deaths.push_back({ death.endpoint, death.age.count(), death.ranFor.count() });
    json body = { { "k", std::string(1, codeOf(record.key.kind)) }, { "i", record.key.id }, { "d", std::move(deaths) }, { "a", record.seenAge.count() }, { "p", record.position } };
    addAge(body, "s", record.soundAge);
    addAge(body, "c", record.convictedAge);
    addAge(body, "t", record.trialAge);
    return body;
}

std::optional<crash_record> crashRecordFromJson(const json& record)
{
    const std::string code = record.at("k").get<std::string>();
    const auto kind = code.size() == 1 ? kindOf(code.front()) : std::nullopt;
    if (!kind)
        return std::nullopt;
    crash_record result { .key = { *kind, record.at("i").get<std::uint64_t>() },
        .soundAge = optionalAgeFrom(record, "s"),
        .convictedAge = optionalAgeFrom(record, "c"),
        .trialAge = optionalAgeFrom(record, "t"),
        .seenAge = ageFrom(record.at("a")),
        .position = record.value("p", 0U) };
    for (const json& death : record.at("d")) {
        if (result.deaths.size() < maxDeathsRead)
            result.deaths.push_back({ death.at(0).get<std::uint64_t>(), ageFrom(death.at(1)), ageFrom(death.at(2)) });
    }
    return result;
}

std::string crashRowKey(const suspect_key& key) { return std::string(1, codeOf(key.kind)) + std::to_string(key.id); }

std::optional<suspect_key> suspectOfRowKey(std::string_view rowKey)
{
    suspect_key key;
    const auto kind = rowKey.empty() ? std::nullopt : kindOf(rowKey.front());
    const char* const end = rowKey.data() + rowKey.size();
    if (!kind || std::from_chars(rowKey.data() + 1, end, key.id).ptr != end)
        return std::nullopt;
    key.kind = *kind;
    return key;
}

std::string encodeCrashRow(const crash_record& record) { return crashRecordToJson(record).dump(); }

std::optional<crash_record> decodeCrashRow(std::string_view value)
{
    try {
        const json body = json::parse(value, nullptr, false);
        return body.is_object() ? crashRecordFromJson(body) : std::nullopt;
    } catch (const json::exception&) {
        // A member is missing or has another type: the row is from another version.
        return std::nullopt;
    }
}

} // namespace appleramp
