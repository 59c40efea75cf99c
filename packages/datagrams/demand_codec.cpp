#include "datagrams/demand_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace appleramp {

namespace {

using nlohmann::json;
using byte_list = std::vector<std::uint8_t>;

constexpr unsigned bitsPerByte = 8;
constexpr std::size_t countBytes = 4;
constexpr std::size_t rankLoadBytes = 1 + 3 * countBytes;
constexpr std::size_t teamLoadBytes = 1 + 2 * countBytes;

void append(byte_list& bytes, std::uint32_t value)
{
    for (std::size_t byte = countBytes; byte-- > 0;)
        bytes.push_back(static_cast<std::uint8_t>(value >> (bitsPerByte * byte)));
}

std::uint32_t numberAt(const byte_list& bytes, std::size_t position)
{
    std::uint32_t value = 0;
    for (std::size_t byte = 0; byte < countBytes; ++byte)
        value = (value << bitsPerByte) | bytes.at(position + byte);
    return value;
}

} // namespace

json demandReportToJson(const demand_report& report)
{
    byte_list ranks;
    for (std::size_t index = 0; index < std::min(report.ranks.size(), sharedRanks); ++index) {
        const rank_load& load = report.ranks[index];
        ranks.push_back(load.rank);
        for (const std::uint32_t value : { load.offeredMilliSlots, load.inFlight, load.waiting })
            append(ranks, value);
    }
    byte_list teams;
    for (std::size_t index = 0; index < std::min(report.teams.size(), reportedTeams); ++index) {
        const team_load& load = report.teams[index];
        teams.push_back(load.rank);
        append(teams, load.team);
        append(teams, load.offeredMilliSlots);
    }
    return { { "k", "o" }, { "i", report.sender.str() }, { "z", report.zone.str() }, { "a", report.isZoneSum }, { "n", report.entries },
        { "q", report.sequence }, { "s", report.service.str() }, { "r", json::binary(std::move(ranks)) }, { "t", json::binary(std::move(teams)) } };
}

demand_report demandReportFromJson(const json& body)
{
    demand_report report { instance_id(body.at("i").get<std::string>()), availability_zone_id(body.at("z").get<std::string>()),
        body.at("a").get<bool>(), body.at("n").get<std::uint32_t>(), body.at("q").get<std::uint64_t>(), service_id(body.at("s").get<std::string>()), {}, {} };
    const byte_list& ranks = body.at("r").get_binary();
    for (std::size_t at = 0; at + rankLoadBytes <= std::min(ranks.size(), sharedRanks * rankLoadBytes); at += rankLoadBytes) {
        const auto rank = std::min<std::uint8_t>(ranks[at], sharedRanks - 1);
        report.ranks.push_back({ rank, numberAt(ranks, at + 1), numberAt(ranks, at + 1 + countBytes), numberAt(ranks, at + 1 + 2 * countBytes) });
    }
    const byte_list& teams = body.at("t").get_binary();
    for (std::size_t at = 0; at + teamLoadBytes <= std::min(teams.size(), reportedTeams * teamLoadBytes); at += teamLoadBytes) {
        const auto rank = std::min<std::uint8_t>(teams[at], sharedRanks - 1);
        report.teams.push_back({ rank, numberAt(teams, at + 1), numberAt(teams, at + 1 + countBytes) });
    }
    return report;
}

} // namespace appleramp
