#include "datagrams/group_codec.h"

#include "datagrams/packed_lists.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <optional>

namespace appleramp {

namespace {

using nlohmann::json;

json listsToJson(const expert_lists& lists) { return json::binary(packLists(lists)); }

// Throws json::exception, like the other readers, if the member is no byte string.
std::optional<expert_lists> listsFromJson(const json& body)
{
    const auto& bytes = body.get_binary();
    return unpackLists({ bytes.data(), bytes.size() });
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
    json operator()(const coordinator_heartbeat& beat) const { return { { "k", "b" }, { "r", beat.rank }, { "e", beat.epoch }, { "z", beat.zone }, { "a", beat.address } }; }
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
        setIfPresent(body, "sh", status.singleHoldFromPass);
        setIfPresent(body, "u", status.unsettledArmPass);
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
    json operator()(const switch_request& request) const
    {
        json body { { "k", "r" }, { "n", switchNameToJson(request.name) } };
        setIfPresent(body, "h", request.holder);
        return body;
    }
    json operator()(const arm_readiness_request& request) const
    {
        return { { "k", "y" }, { "n", switchNameToJson(request.name) }, { "h", request.holder }, { "a", request.address } };
    }
    json operator()(const arm_readiness& answer) const
    {
        return { { "k", "z" }, { "n", switchNameToJson(answer.name) }, { "r", answer.rank }, { "y", answer.isReady } };
    }
    json operator()(const arm_permission& permission) const
    {
        return { { "k", "g" }, { "n", switchNameToJson(permission.name) }, { "h", permission.holder } };
    }
    json operator()(const switch_outcome& outcome) const
    {
        return { { "k", "o" }, { "n", switchNameToJson(outcome.name) }, { "c", outcome.committed } };
    }
    json operator()(const status_request& request) const { return { { "k", "w" }, { "e", request.epoch }, { "r", request.rank } }; }
    json operator()(const status_query& query) const { return { { "k", "q" }, { "n", switchNameToJson(query.name) }, { "r", query.rank } }; }
};

std::optional<group_message> statusFromJson(const json& body)
{
    auto experts = listsFromJson(body.at("x"));
    if (!experts)
        return std::nullopt;
    rank_status status;
    status.experts = std::move(*experts);
    status.rank = body.at("r").get<std::uint32_t>();
    status.ranks = body.at("n").get<std::uint32_t>();
    status.epoch = body.at("e").get<group_epoch>();
    status.groupOpen = body.at("o").get<bool>();
    status.pass = body.at("p").get<pass_number>();
    status.mapVersion = body.at("m").get<group_map_version>();
    status.preparedDigest = body.at("d").get<std::uint64_t>();
    status.proposedVersion = body.at("q").get<group_map_version>();
    status.preparedVersion = numberIfPresent(body, "v");
    status.armedVersion = numberIfPresent(body, "a");
    status.armedPass = numberIfPresent(body, "ap");
    status.heldPass = numberIfPresent(body, "h");
    status.declinedPasses = body.value("no", std::vector<pass_number> {});
    status.slowdownFactor = body.value("t", defaultPace);
    status.singleHoldFromPass = numberIfPresent(body, "sh");
    status.unsettledArmPass = numberIfPresent(body, "u");
    return status;
}

expert_choice_counts choicesFromJson(const json& body)
{
    return { body.at("r").get<std::uint32_t>(), countsFromJson(body.at("x")) };
}

switch_request requestFromJson(const json& body)
{
    switch_request request { switchNameFromJson(body.at("n")) };
    if (body.contains("h"))
        request.holder = body.at("h").get<std::uint32_t>();
    return request;
}

std::optional<group_message> proposalFromJson(const json& body)
{
    auto lists = listsFromJson(body.at("x"));
    const auto sets = body.at("s").get<std::size_t>();
    if (!lists || sets == 0 || lists->size() % sets != 0)
        return std::nullopt;
    group_map map(sets, lists->size() / sets);
    for (std::size_t index = 0; index < lists->size(); ++index)
        map.at(index / map.ranks(), index % map.ranks()) = std::move((*lists)[index]);
    return map_proposal { body.at("e").get<group_epoch>(), body.at("v").get<group_map_version>(), std::move(map) };
}

std::optional<group_message> changesFromJson(const json& body)
{
    map_changes proposal { body.at("e").get<group_epoch>(), body.at("v").get<group_map_version>(), body.at("b").get<group_map_version>(), {} };
    const auto positions = listsFromJson(body.at("p"));
    auto lists = listsFromJson(body.at("x"));
    if (!positions || !lists || positions->size() != lists->size())
        return std::nullopt;
    for (std::size_t index = 0; index < positions->size(); ++index) {
        const auto& position = (*positions)[index];
        if (position.size() != 2)
            return std::nullopt;
        proposal.changes.push_back({ position[0], position[1], std::move((*lists)[index]) });
    }
    return proposal;
}

} // namespace

json groupMessageToJson(const group_message& message) { return std::visit(encoder {}, message); }

std::optional<group_message> groupMessageFromJson(const json& body)
{
    const std::string kind = body.at("k").get<std::string>();
    if (kind == "b")
        return coordinator_heartbeat { body.at("r").get<std::uint32_t>(), body.at("e").get<group_epoch>(), body.at("z").get<std::string>(), body.at("a").get<std::string>() };
    if (kind == "s")
        return statusFromJson(body);
    if (kind == "c")
        return choicesFromJson(body);
    if (kind == "p")
        return proposalFromJson(body);
    if (kind == "d")
        return changesFromJson(body);
    if (kind == "r")
        return requestFromJson(body);
    if (kind == "y")
        return arm_readiness_request { switchNameFromJson(body.at("n")), body.at("h").get<std::uint32_t>(), body.at("a").get<std::string>() };
    if (kind == "z")
        return arm_readiness { switchNameFromJson(body.at("n")), body.at("r").get<std::uint32_t>(), body.at("y").get<bool>() };
    if (kind == "g")
        return arm_permission { switchNameFromJson(body.at("n")), body.at("h").get<std::uint32_t>() };
    if (kind == "o")
        return switch_outcome { switchNameFromJson(body.at("n")), body.at("c").get<bool>() };
    if (kind == "w")
        return status_request { body.at("e").get<group_epoch>(), body.at("r").get<std::uint32_t>() };
    if (kind == "q")
        return status_query { switchNameFromJson(body.at("n")), body.at("r").get<std::uint32_t>() };
    return std::nullopt;
}

} // namespace appleramp
