#include "datagrams/group_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace appleramp {

namespace {

using nlohmann::json;

// A number of two bytes, the low one first.
void append16(std::vector<std::uint8_t>& bytes, std::uint32_t value)
{
    const std::uint32_t fitting = std::min<std::uint32_t>(value, std::numeric_limits<std::uint16_t>::max());
    bytes.push_back(static_cast<std::uint8_t>(fitting & 0xffU));
    bytes.push_back(static_cast<std::uint8_t>(fitting >> 8U));
}

using expert_lists = std::vector<std::vector<expert_number>>;

// Lists in one run of bytes: a byte says how wide the numbers are, then each list follows its length.
json listsToJson(const expert_lists& lists)
{
    const bool isNarrow = std::all_of(lists.begin(), lists.end(), [](const auto& list) {
        return list.size() < 256 && std::all_of(list.begin(), list.end(), [](expert_number expert) { return expert < 256; });
    });
    std::vector<std::uint8_t> bytes { static_cast<std::uint8_t>(isNarrow ? 1 : 2) };
    const auto append = [&](std::size_t value) {
        if (isNarrow)
            bytes.push_back(static_cast<std::uint8_t>(value));
        else
            append16(bytes, static_cast<std::uint32_t>(value));
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
    std::size_t at = 1;
    const auto next = [&] {
        const unsigned low = bytes[at];
        const unsigned high = width == 2 ? bytes[at + 1] : 0;
        at += width;
        return static_cast<std::uint16_t>(low | high << 8U);
    };
    while (at + width <= bytes.size()) {
        const std::uint16_t count = next();
        auto& list = lists.emplace_back();
        for (std::uint16_t index = 0; index < count && at + width <= bytes.size(); ++index)
            list.push_back(next());
    }
    return lists;
}

// Left out of messages.
constexpr double usualPace = 1.0;

// Counts on a square-root scale of one byte each, relative to the greatest: small ones keep their proportions.
constexpr double fullScale = 255.0;

json countsToJson(const std::vector<std::uint32_t>& counts)
{
    const std::uint32_t greatest = counts.empty() ? 0 : *std::max_element(counts.begin(), counts.end());
    std::vector<std::uint8_t> bytes;
    bytes.reserve(counts.size());
    for (const std::uint32_t count : counts)
        bytes.push_back(greatest == 0 ? 0 : static_cast<std::uint8_t>(std::lround(fullScale * std::sqrt(static_cast<double>(count) / greatest))));
    return { greatest, json::binary(std::move(bytes)) };
}

std::vector<std::uint32_t> countsFromJson(const json& body)
{
    const auto greatest = body.at(0).get<std::uint32_t>();
    std::vector<std::uint32_t> counts;
    for (const std::uint8_t byte : body.at(1).get_binary()) {
        const double part = byte / fullScale;
        counts.push_back(static_cast<std::uint32_t>(std::lround(part * part * greatest)));
    }
    return counts;
}

json nameToJson(const switch_name& name) { return { name.epoch, name.version, name.pass }; }

switch_name nameFromJson(const json& body)
{
    return { body.at(0).get<group_epoch>(), body.at(1).get<map_number>(), body.at(2).get<pass_number>() };
}

template <typename Number>
void setIf(json& body, const char* name, const std::optional<Number>& value)
{
    if (value)
        body[name] = *value;
}

std::optional<std::uint64_t> numberIf(const json& body, const char* name)
{
    const auto found = body.find(name);
    return found == body.end() ? std::nullopt : std::optional(found->get<std::uint64_t>());
}

struct encoder {
    json operator()(const coordinator_beat& beat) const { return { { "k", "b" }, { "r", beat.rank }, { "e", beat.epoch }, { "z", beat.zone } }; }
    json operator()(const rank_status& status) const
    {
        json body { { "k", "s" }, { "r", status.rank }, { "n", status.ranks }, { "e", status.epoch }, { "o", status.groupOpen },
            { "p", status.pass }, { "m", status.mapVersion }, { "x", listsToJson(status.experts) }, { "d", status.preparedDigest }, { "q", status.proposedVersion } };
        setIf(body, "v", status.preparedVersion);
        setIf(body, "a", status.armedVersion);
        setIf(body, "ap", status.armedPass);
        setIf(body, "h", status.heldPass);
        if (!status.declinedPasses.empty())
            body["no"] = status.declinedPasses;
        if (status.pace != usualPace)
            body["t"] = status.pace;
        return body;
    }
    json operator()(const rank_choices& choices) const
    {
        return { { "k", "c" }, { "r", choices.rank }, { "x", countsToJson(choices.chosen) } };
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
        // Set and rank of each change, and then its experts, as lists.
        expert_lists places;
        expert_lists lists;
        for (const rank_experts& change : proposal.changes) {
            places.push_back({ change.set, change.rank });
            lists.push_back(change.experts);
        }
        return { { "k", "d" }, { "e", proposal.epoch }, { "v", proposal.version }, { "b", proposal.base }, { "p", listsToJson(places) },
            { "x", listsToJson(lists) } };
    }
    json operator()(const switch_request& request) const { return { { "k", "r" }, { "n", nameToJson(request.name) } }; }
    json operator()(const switch_outcome& outcome) const
    {
        return { { "k", "o" }, { "n", nameToJson(outcome.name) }, { "c", outcome.committed } };
    }
    json operator()(const status_wanted& wanted) const { return { { "k", "w" }, { "e", wanted.epoch }, { "r", wanted.rank } }; }
    json operator()(const status_query& query) const { return { { "k", "q" }, { "n", nameToJson(query.name) }, { "r", query.rank } }; }
};

rank_status statusIn(const json& body)
{
    rank_status status;
    status.rank = body.at("r").get<std::uint32_t>();
    status.ranks = body.at("n").get<std::uint32_t>();
    status.epoch = body.at("e").get<group_epoch>();
    status.groupOpen = body.at("o").get<bool>();
    status.pass = body.at("p").get<pass_number>();
    status.mapVersion = body.at("m").get<map_number>();
    status.experts = listsFromJson(body.at("x"));
    status.preparedDigest = body.at("d").get<std::uint64_t>();
    status.proposedVersion = body.at("q").get<map_number>();
    status.preparedVersion = numberIf(body, "v");
    status.armedVersion = numberIf(body, "a");
    status.armedPass = numberIf(body, "ap");
    status.heldPass = numberIf(body, "h");
    status.declinedPasses = body.value("no", std::vector<pass_number> {});
    status.pace = body.value("t", usualPace);
    return status;
}

rank_choices choicesIn(const json& body)
{
    return { body.at("r").get<std::uint32_t>(), countsFromJson(body.at("x")) };
}

std::optional<group_message> proposalIn(const json& body)
{
    const expert_lists lists = listsFromJson(body.at("x"));
    const auto sets = body.at("s").get<std::size_t>();
    if (sets == 0 || lists.size() % sets != 0)
        return std::nullopt;
    group_map map(sets, lists.size() / sets);
    for (std::size_t index = 0; index < lists.size(); ++index)
        map.at(index / map.ranks(), index % map.ranks()) = lists[index];
    return map_proposal { body.at("e").get<group_epoch>(), body.at("v").get<map_number>(), std::move(map) };
}

std::optional<group_message> changesIn(const json& body)
{
    map_changes proposal { body.at("e").get<group_epoch>(), body.at("v").get<map_number>(), body.at("b").get<map_number>(), {} };
    const expert_lists places = listsFromJson(body.at("p"));
    expert_lists lists = listsFromJson(body.at("x"));
    if (places.size() != lists.size())
        return std::nullopt;
    for (std::size_t index = 0; index < places.size(); ++index) {
        if (places[index].size() != 2)
            return std::nullopt;
        proposal.changes.push_back({ places[index][0], places[index][1], std::move(lists[index]) });
    }
    return proposal;
}

} // namespace

json groupMessageToJson(const group_message& message) { return std::visit(encoder {}, message); }

std::optional<group_message> groupMessageFromJson(const json& body)
{
    const std::string kind = body.at("k").get<std::string>();
    if (kind == "b")
        return coordinator_beat { body.at("r").get<std::uint32_t>(), body.at("e").get<group_epoch>(), body.at("z").get<std::string>() };
    if (kind == "s")
        return statusIn(body);
    if (kind == "c")
        return choicesIn(body);
    if (kind == "p")
        return proposalIn(body);
    if (kind == "d")
        return changesIn(body);
    if (kind == "r")
        return switch_request { nameFromJson(body.at("n")) };
    if (kind == "o")
        return switch_outcome { nameFromJson(body.at("n")), body.at("c").get<bool>() };
    if (kind == "w")
        return status_wanted { body.at("e").get<group_epoch>(), body.at("r").get<std::uint32_t>() };
    if (kind == "q")
        return status_query { nameFromJson(body.at("n")), body.at("r").get<std::uint32_t>() };
    return std::nullopt;
}

} // namespace appleramp
