#include "datagrams/group_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace appleramp {

namespace {

using nlohmann::json;

// Numbers of two bytes, the low one first. Counts beyond two bytes are cut to the greatest.
void append16(std::vector<std::uint8_t>& bytes, std::uint32_t value)
{
    const std::uint32_t fitting = std::min<std::uint32_t>(value, std::numeric_limits<std::uint16_t>::max());
    bytes.push_back(static_cast<std::uint8_t>(fitting & 0xffU));
    bytes.push_back(static_cast<std::uint8_t>(fitting >> 8U));
}

// Reads what append16 wrote; a read beyond the end gives zero.
class reader16 {
public:
    explicit reader16(const std::vector<std::uint8_t>& bytes)
        : m_bytes(bytes)
    {
    }

    bool atEnd() const { return m_at + 1 >= m_bytes.size(); }

    std::uint16_t next()
    {
        if (atEnd())
            return 0;
        const auto value = static_cast<std::uint16_t>(m_bytes[m_at] | static_cast<unsigned>(m_bytes[m_at + 1]) << 8U);
        m_at += 2;
        return value;
    }

private:
    const std::vector<std::uint8_t>& m_bytes;
    std::size_t m_at = 0;
};

using expert_lists = std::vector<std::vector<expert_number>>;

json listsToJson(const expert_lists& lists)
{
    std::vector<std::uint8_t> bytes;
    for (const auto& list : lists) {
        append16(bytes, static_cast<std::uint32_t>(list.size()));
        for (const expert_number expert : list)
            append16(bytes, expert);
    }
    return json::binary(std::move(bytes));
}

expert_lists listsFromJson(const json& body)
{
    expert_lists lists;
    reader16 reader(body.get_binary());
    while (!reader.atEnd()) {
        const std::uint16_t count = reader.next();
        auto& list = lists.emplace_back();
        for (std::uint16_t index = 0; index < count && !reader.atEnd(); ++index)
            list.push_back(reader.next());
    }
    return lists;
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
    json operator()(const coordinator_beat& beat) const { return { { "k", "b" }, { "r", beat.rank }, { "e", beat.epoch } }; }
    json operator()(const rank_status& status) const
    {
        json body { { "k", "s" }, { "r", status.rank }, { "n", status.ranks }, { "e", status.epoch }, { "o", status.groupOpen },
            { "p", status.pass }, { "m", status.mapVersion }, { "x", listsToJson(status.experts) }, { "d", status.preparedDigest } };
        setIf(body, "v", status.preparedVersion);
        setIf(body, "a", status.armedVersion);
        setIf(body, "ap", status.armedPass);
        setIf(body, "h", status.heldPass);
        setIf(body, "no", status.declinedPass);
        return body;
    }
    json operator()(const rank_choices& choices) const
    {
        std::vector<std::uint8_t> bytes;
        for (const std::uint32_t chosen : choices.chosen)
            append16(bytes, chosen);
        return { { "k", "c" }, { "r", choices.rank }, { "x", json::binary(std::move(bytes)) } };
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
    json operator()(const switch_request& request) const { return { { "k", "r" }, { "n", nameToJson(request.name) } }; }
    json operator()(const switch_outcome& outcome) const
    {
        return { { "k", "o" }, { "n", nameToJson(outcome.name) }, { "c", outcome.committed } };
    }
    json operator()(const status_query& query) const { return { { "k", "q" }, { "e", query.epoch }, { "p", query.pass } }; }
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
    status.preparedVersion = numberIf(body, "v");
    status.armedVersion = numberIf(body, "a");
    status.armedPass = numberIf(body, "ap");
    status.heldPass = numberIf(body, "h");
    status.declinedPass = numberIf(body, "no");
    return status;
}

rank_choices choicesIn(const json& body)
{
    rank_choices choices { body.at("r").get<std::uint32_t>(), {} };
    reader16 reader(body.at("x").get_binary());
    while (!reader.atEnd())
        choices.chosen.push_back(reader.next());
    return choices;
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

} // namespace

json groupMessageToJson(const group_message& message) { return std::visit(encoder {}, message); }

std::optional<group_message> groupMessageFromJson(const json& body)
{
    const std::string kind = body.at("k").get<std::string>();
    if (kind == "b")
        return coordinator_beat { body.at("r").get<std::uint32_t>(), body.at("e").get<group_epoch>() };
    if (kind == "s")
        return statusIn(body);
    if (kind == "c")
        return choicesIn(body);
    if (kind == "p")
        return proposalIn(body);
    if (kind == "r")
        return switch_request { nameFromJson(body.at("n")) };
    if (kind == "o")
        return switch_outcome { nameFromJson(body.at("n")), body.at("c").get<bool>() };
    if (kind == "q")
        return status_query { body.at("e").get<group_epoch>(), body.at("p").get<pass_number>() };
    return std::nullopt;
}

} // namespace appleramp
