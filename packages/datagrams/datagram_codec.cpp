#include "datagrams/datagram_codec.h"

#include "datagrams/crash_codec.h"
#include "datagrams/demand_codec.h"
#include "datagrams/group_codec.h"
#include "datagrams/limit_codec.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace appleramp {

namespace {

using nlohmann::json;

// Paces are encoded in hundredths.
constexpr double paceScale = 100.0;

// Member names are one letter long because these datagrams are sent between availability zones many times per second.
struct encoder {
    json operator()(const entry_presence& presence) const
    {
        return { { "k", "e" }, { "i", presence.instance.str() }, { "z", presence.zone.str() }, { "a", presence.callerAddress },
            { "s", presence.serving }, { "c", presence.configuration }, { "n", presence.starting } };
    }
    json operator()(const zone_presence& zone) const
    {
        json entries = json::array();
        for (const auto& [presence, age] : zone.entries)
            entries.push_back({ presence.instance.str(), presence.zone.str(), presence.callerAddress, presence.serving, presence.configuration, age.count() });
        return { { "k", "z" }, { "e", std::move(entries) } };
    }
    json operator()(const endpoint_load& load) const
    {
        json encoded { { "k", "l" }, { "a", load.address }, { "r", load.running }, { "w", load.waiting },
            { "p", std::lround(load.slowdownFactor * paceScale) }, { "o", load.groupOpen }, { "n", load.subscribers }, { "x", load.leaving }, { "t", load.startedAtMs }, { "q", limitStatementToJson(load.limit) } };
        if (load.memoryTotal > 0) {
            encoded["f"] = load.memoryUsed;
            encoded["m"] = load.memoryTotal;
        }
        return encoded;
    }
    json operator()(const endpoint_death& death) const { return { { "k", "d" }, { "a", death.address }, { "t", death.startedAtMs } }; }
    json operator()(const load_subscription& subscription) const { return { { "k", "u" }, { "z", subscription.zone.str() }, { "g", subscription.storeGeneration } }; }
    json operator()(const crash_records& told) const
    {
        json records = json::array();
        for (const crash_record& record : told.records)
            records.push_back(crashRecordToJson(record));
        return { { "k", "c" }, { "r", std::move(records) } };
    }
    json operator()(const endpoint_limit_records& told) const { return { { "k", "m" }, { "r", limitRecordsToJson(told.records) } }; }
    json operator()(const permit_question& question) const { return { { "k", "b" }, { "q", permitQuestionToJson(question) } }; }
    json operator()(const permit_answer& answer) const { return { { "k", "p" }, { "q", permitQuestionToJson(answer.question) }, { "g", answer.isGranted } }; }
    json operator()(const demand_report& report) const { return demandReportToJson(report); }
    json operator()(const relay_request& relayed) const
    {
        return { { "k", "r" }, { "t", relayed.targets },
            { "m", json::binary({ relayed.message.begin(), relayed.message.end() }) } };
    }
    json operator()(const freshness_question& question) const { return { { "k", "q" }, { "t", question.askedAt.time_since_epoch().count() } }; }
    json operator()(const freshness_answer& answer) const
    {
        json tables = json::array();
        for (const table_confirmation& table : answer.tables)
            tables.push_back({ table.digest, table.age.count() });
        return { { "k", "a" }, { "t", answer.askedAt.time_since_epoch().count() }, { "c", std::move(tables) } };
    }
    json operator()(const store_notice& notice) const
    {
        return { { "k", "s" }, { "i", notice.sender }, { "s", notice.isServed }, { "t", notice.turn }, { "p", notice.prober },
            { "a", notice.servedAge.count() }, { "f", notice.failures }, { "y", static_cast<int>(notice.symptom) } };
    }
    json operator()(const group_datagram& group) const
    {
        return { { "k", "g" }, { "g", group.group }, { "m", groupMessageToJson(group.message) } };
    }
};

entry_presence presenceFromJson(const json& body)
{
    return { instance_id(body.at("i").get<std::string>()), availability_zone_id(body.at("z").get<std::string>()),
        body.at("a").get<std::string>(), body.at("s").get<bool>(), body.value("c", std::uint64_t { 0 }), body.value("n", false) };
}

zone_presence zonePresenceFromJson(const json& body)
{
    zone_presence zone;
    for (const json& entry : body.at("e")) {
        const entry_presence presence { instance_id(entry.at(0).get<std::string>()), availability_zone_id(entry.at(1).get<std::string>()),
            entry.at(2).get<std::string>(), entry.at(3).get<bool>(), entry.at(4).get<std::uint64_t>() };
        zone.entries.push_back({ presence, duration(entry.at(5).get<std::uint32_t>()) });
    }
    return zone;
}

endpoint_load loadFromJson(const json& body)
{
    return { body.at("a").get<std::string>(), body.at("r").get<std::uint32_t>(), body.at("w").get<std::uint32_t>(),
        body.at("p").get<double>() / paceScale, body.at("o").get<bool>(), body.value("n", 0U), body.value("x", false), body.value("t", std::uint64_t { 0 }), limitStatementFromJson(body.value("q", json())),
        body.value("f", std::uint64_t { 0 }), body.value("m", std::uint64_t { 0 }) };
}

instant askedAtFromJson(const json& body) { return instant(duration(body.at("t").get<duration::rep>())); }

freshness_answer freshnessAnswerFromJson(const json& body)
{
    freshness_answer answer { askedAtFromJson(body), {} };
    for (const json& table : body.at("c"))
        answer.tables.push_back({ table.at(0).get<std::uint64_t>(), duration(table.at(1).get<duration::rep>()) });
    return answer;
}

std::optional<datagram_message> storeNoticeFromJson(const json& body)
{
    store_notice notice { body.at("i").get<std::string>(), body.at("s").get<bool>(), body.at("t").get<std::uint32_t>(),
        body.at("p").get<std::string>(), duration(body.at("a").get<duration::rep>()), body.at("f").get<std::uint32_t>() };
    const int symptom = body.at("y").get<int>();
    if (notice.servedAge < duration::zero() || symptom < 0 || symptom > static_cast<int>(store_symptom::Refused))
        return std::nullopt;
    notice.symptom = static_cast<store_symptom>(symptom);
    return notice;
}

crash_records crashRecordsFromJson(const json& records)
{
    crash_records told;
    for (const json& record : records) {
        if (auto known = crashRecordFromJson(record))
            told.records.push_back(std::move(*known));
    }
    return told;
}

} // namespace

std::string encodeDatagram(const datagram_message& message)
{
    const std::vector<std::uint8_t> bytes = json::to_cbor(std::visit(encoder {}, message));
    return { bytes.begin(), bytes.end() };
}

std::optional<datagram_message> decodeDatagram(std::string_view bytes)
{
    try {
        // Although exceptions are disabled here, the library throws on some of the lengths that a corrupted datagram can
        // contain.
        const json body = json::from_cbor(bytes, true, false);
        if (!body.is_object())
            return std::nullopt;
        const std::string kind = body.at("k").get<std::string>();
        if (kind == "e")
            return presenceFromJson(body);
        if (kind == "z")
            return zonePresenceFromJson(body);
        if (kind == "l")
            return loadFromJson(body);
        if (kind == "d")
            return endpoint_death { body.at("a").get<std::string>(), body.at("t").get<std::uint64_t>() };
        if (kind == "u")
            return load_subscription { availability_zone_id(body.at("z").get<std::string>()), body.at("g").get<std::uint64_t>() };
        if (kind == "r") {
            const auto& message = body.at("m").get_binary();
            return relay_request { body.at("t").get<std::vector<std::string>>(), { message.begin(), message.end() } };
        }
        if (kind == "g") {
            if (auto message = groupMessageFromJson(body.at("m")))
                return group_datagram { body.at("g").get<std::string>(), std::move(*message) };
            return std::nullopt;
        }
        if (kind == "q")
            return freshness_question { askedAtFromJson(body) };
        if (kind == "a")
            return freshnessAnswerFromJson(body);
        if (kind == "s")
            return storeNoticeFromJson(body);
        if (kind == "m")
            return endpoint_limit_records { limitRecordsFromJson(body.at("r")) };
        if (kind == "b")
            return permitQuestionFromJson(body.at("q"));
        if (kind == "p")
            return permit_answer { permitQuestionFromJson(body.at("q")), body.at("g").get<bool>() };
        if (kind == "o")
            return demandReportFromJson(body);
        if (kind == "c")
            return crashRecordsFromJson(body.at("r"));
    } catch (const json::exception&) {
        // A member is missing or has another type: the datagram is from another version or not from this system.
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace appleramp
