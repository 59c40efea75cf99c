#include "datagrams/group_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace appleramp {

namespace {

using nlohmann::json;

// Appends the number as two bytes in little-endian order. Numbers above 65535 are clamped to it.
void appendUint16(std::vector<std::uint8_t>& bytes, std::uint32_t value)
{
    const std::uint32_t clamped = std::min<std::uint32_t>(value, std::numeric_limits<std::uint16_t>::max());
    bytes.push_back(static_cast<std::uint8_t>(clamped & 0xffU));
    bytes.push_back(static_cast<std::uint8_t>(clamped >> 8U));
}

using expert_lists = std::vector<std::vector<expert_number>>;

// Encodes the lists as one byte string: the first byte is the width of all numbers in bytes (1 or 2), followed by the
// length and the numbers of each list.
json listsToJson(const expert_lists& lists)
{
    const bool fitsOneByte = std::all_of(lists.begin(), lists.end(), [](const auto& list) {
        return list.size() < 256 && std::all_of(list.begin(), list.end(), [](expert_number expert) { return expert < 256; });
    });
    std::vector<std::uint8_t> bytes { static_cast<std::uint8_t>(fitsOneByte ? 1 : 2) };
    const auto append = [&](std::size_t value) {
        if (fitsOneByte)
            bytes.push_back(static_cast<std::uint8_t>(value));
        else
            appendUint16(bytes, static_cast<std::uint32_t>(value));
    };
    for (const auto& list : lists) {
        append(list.size());
        for (const expert_number expert : list)
            append(expert);
    }
    return json::binary(std::move(bytes));
}

expert_lists listsFromJson(const json& body)
{
    const auto& bytes = body.get_binary();
    expert_lists lists;
    if (bytes.empty())
        return lists;
    const std::size_t width = bytes[0] == 1 ? 1 : 2;
    std::size_t offset = 1;
    const auto readNumber = [&] {
        const unsigned low = bytes[offset];
        const unsigned high = width == 2 ? bytes[offset + 1] : 0;
        offset += width;
        return static_cast<std::uint16_t>(low | high << 8U);
    };
    while (offset + width <= bytes.size()) {
        const std::uint16_t count = readNumber();
        auto& list = lists.emplace_back();
        for (std::uint16_t index = 0; index < count && offset + width <= bytes.size(); ++index)
            list.push_back(readNumber());
    }
    return lists;
}

// Pace of a rank at normal speed; omitted from messages.
constexpr double defaultPace = 1.0;

// Each count is encoded in one byte, as the square root of its ratio to the highest count, scaled to 255. The square root
// preserves the ratios between small counts better than a linear scale.
constexpr double maxScaledCount = 255.0;

json countsToJson(const std::vector<std::uint32_t>& counts)
{
    const std::uint32_t maxCount = counts.empty() ? 0 : *std::max_element(counts.begin(), counts.end());
    std::vector<std::uint8_t> bytes;
    bytes.reserve(counts.size());
    for (const std::uint32_t count : counts)
        bytes.push_back(maxCount == 0 ? 0 : static_cast<std::uint8_t>(std::lround(maxScaledCount * std::sqrt(static_cast<double>(count) / maxCount))));
    return { maxCount, json::binary(std::move(bytes)) };
}

std::vector<std::uint32_t> countsFromJson(const json& body)
{
    const auto maxCount = body.at(0).get<std::uint32_t>();
    std::vector<std::uint32_t> counts;
    for (const std::uint8_t byte : body.at(1).get_binary()) {
        const double root = byte / maxScaledCount;
        counts.push_back(static_cast<std::uint32_t>(std::lround(root * root * maxCount)));
    }
    return counts;
}

json switchNameToJson(const switch_id& name) { return { name.epoch, name.version, name.pass }; }

switch_id switchNameFromJson(const json& body)
{
    return { body.at(0).get<group_epoch>(), body.at(1).get<group_map_version>(), body.at(2).get<pass_number>() };
}

template <typename Number>
void setIfPresent(json& body, const char* name, const std::optional<Number>& value)
{
    if (value)
        body[name] = *value;
}

std::optional<std::uint64_t> numberIfPresent(const json& body, const char* name)
{
    const auto found = body.find(name);
    return found == body.end() ? std::nullopt : std::optional(found->get<std::uint64_t>());
}

struct encoder {
    json operator()(const coordinator_heartbeat& beat) const { return { { "k", "b" }, { "r", beat.rank }, { "e", beat.epoch }, { "z", beat.zone } }; }
    json operator()(const rank_status& status) const
    {
        json body { { "k", "s" }, { "r", status.rank }, { "n", status.ranks }, { "e", status.epoch }, { "o", status.groupOpen },
            { "p", status.pass }, { "m", status.mapVersion }, { "x", listsToJson(status.experts) }, { "d", status.preparedDigest }, { "q", status.proposedVersion } };
        setIfPresent(body, "v", status.preparedVersion);
        setIfPresent(body, "a", status.armedVersion);
        setIfPresent(body, "ap", status.armedPass);
        setIfPresent(body, "h", status.heldPass);
        if (!status.declinedPasses.empty())
            body["no"] = status.declinedPasses;
        if (status.slowdownFactor != defaultPace)
            body["t"] = status.slowdownFactor;
        return body;
    }
    json operator()(const expert_choice_counts& choices) const
    {
        return { { "k", "c" }, { "r", choices.rank }, { "x", countsToJson(choices.counts) } };
    }
    json operator()(const map_proposal& proposal) const
    {
        expert_lists lists;
        for (std::size_t set = 0; set < proposal.map.sets(); ++set) {
            for (std::size_t rank = 0; rank < proposal.map.ranks(); ++rank)
                lists.push_back(proposal.map.at(set, rank));
        }
        return { { "k", "p" }, { "e", proposal.epoch }, { "v", proposal.version }, { "s", proposal.map.sets() }, { "x", listsToJson(lists) } };
    }
    json operator()(const map_changes& proposal) const
    {
        // Two parallel arrays of lists: set and rank of each change, and its experts.
        expert_lists positions;
        expert_lists lists;
        for (const rank_experts& change : proposal.changes) {
            positions.push_back({ change.set, change.rank });
            lists.push_back(change.experts);
        }
        return { { "k", "d" }, { "e", proposal.epoch }, { "v", proposal.version }, { "b", proposal.base }, { "p", listsToJson(positions) },
            { "x", listsToJson(lists) } };
    }
    json operator()(const switch_request& request) const { return { { "k", "r" }, { "n", switchNameToJson(request.name) } }; }
    json operator()(const switch_outcome& outcome) const
    {
        return { { "k", "o" }, { "n", switchNameToJson(outcome.name) }, { "c", outcome.committed } };
    }
    json operator()(const status_request& request) const { return { { "k", "w" }, { "e", request.epoch }, { "r", request.rank } }; }
    json operator()(const status_query& query) const { return { { "k", "q" }, { "n", switchNameToJson(query.name) }, { "r", query.rank } }; }
};

rank_status statusFromJson(const json& body)
{
    rank_status status;
    status.rank = body.at("r").get<std::uint32_t>();
    status.ranks = body.at("n").get<std::uint32_t>();
    status.epoch = body.at("e").get<group_epoch>();
    status.groupOpen = body.at("o").get<bool>();
    status.pass = body.at("p").get<pass_number>();
    status.mapVersion = body.at("m").get<group_map_version>();
    status.experts = listsFromJson(body.at("x"));
    status.preparedDigest = body.at("d").get<std::uint64_t>();
    status.proposedVersion = body.at("q").get<group_map_version>();
    status.preparedVersion = numberIfPresent(body, "v");
    status.armedVersion = numberIfPresent(body, "a");
    status.armedPass = numberIfPresent(body, "ap");
    status.heldPass = numberIfPresent(body, "h");
    status.declinedPasses = body.value("no", std::vector<pass_number> {});
    status.slowdownFactor = body.value("t", defaultPace);
    return status;
}

expert_choice_counts choicesFromJson(const json& body)
{
    return { body.at("r").get<std::uint32_t>(), countsFromJson(body.at("x")) };
}

std::optional<group_message> proposalFromJson(const json& body)
{
    const expert_lists lists = listsFromJson(body.at("x"));
    const auto sets = body.at("s").get<std::size_t>();
    if (sets == 0 || lists.size() % sets != 0)
        return std::nullopt;
    group_map map(sets, lists.size() / sets);
    for (std::size_t index = 0; index < lists.size(); ++index)
        map.at(index / map.ranks(), index % map.ranks()) = lists[index];
    return map_proposal { body.at("e").get<group_epoch>(), body.at("v").get<group_map_version>(), std::move(map) };
}

std::optional<group_message> changesFromJson(const json& body)
{
    map_changes proposal { body.at("e").get<group_epoch>(), body.at("v").get<group_map_version>(), body.at("b").get<group_map_version>(), {} };
    const expert_lists positions = listsFromJson(body.at("p"));
    expert_lists lists = listsFromJson(body.at("x"));
    if (positions.size() != lists.size())
        return std::nullopt;
    for (std::size_t index = 0; index < positions.size(); ++index) {
        if (positions[index].size() != 2)
            return std::nullopt;
        proposal.changes.push_back({ positions[index][0], positions[index][1], std::move(lists[index]) });
    }
    return proposal;
}

} // namespace

json groupMessageToJson(const group_message& message) { return std::visit(encoder {}, message); }

std::optional<group_message> groupMessageFromJson(const json& body)
{
    const std::string kind = body.at("k").get<std::string>();
    if (kind == "b")
        return coordinator_heartbeat { body.at("r").get<std::uint32_t>(), body.at("e").get<group_epoch>(), body.at("z").get<std::string>() };
    if (kind == "s")
        return statusFromJson(body);
    if (kind == "c")
        return choicesFromJson(body);
    if (kind == "p")
        return proposalFromJson(body);
    if (kind == "d")
        return changesFromJson(body);
    if (kind == "r")
        return switch_request { switchNameFromJson(body.at("n")) };
    if (kind == "o")
        return switch_outcome { switchNameFromJson(body.at("n")), body.at("c").get<bool>() };
    if (kind == "w")
        return status_request { body.at("e").get<group_epoch>(), body.at("r").get<std::uint32_t>() };
    if (kind == "q")
        return status_query { switchNameFromJson(body.at("n")), body.at("r").get<std::uint32_t>() };
    return std::nullopt;
}

} // namespace appleramp
