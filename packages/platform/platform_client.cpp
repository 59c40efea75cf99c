#include "platform/platform_client.h"

#include "platform/call_counters.h"
#include "platform/http_exchange.h"
#include "platform/platform_error.h"
#include "platform/platform_json.h"

#include <Poco/URI.h>
#include <nlohmann/json.hpp>

namespace appleramp {

namespace {

using nlohmann::json;

constexpr auto okStatus = 200;
constexpr auto notFoundStatus = 404;
constexpr auto conflictStatus = 409;
constexpr auto unavailableStatus = 503;
constexpr auto objectContentType = "application/octet-stream";

using query_parameters = std::vector<std::pair<std::string, std::string>>;

std::string targetWithQuery(const std::string& path, const query_parameters& parameters)
{
    Poco::URI uri(path);
    for (const auto& [name, value] : parameters)
        uri.addQueryParameter(name, value);
    return uri.getPathAndQuery();
}

platform_status statusForLostReply(const platform_call& call)
{
    return isWrite(call) ? platform_status::Unknown : platform_status::Unavailable;
}

// Maps an HTTP status to the status of the call. The protocol guarantees that a call with status 4xx or 503 was not
// executed; after any other status a write may have taken effect.
platform_status statusForResponse(const platform_call& call, int status)
{
    if (status == okStatus)
        return platform_status::Done;
    if (status == conflictStatus)
        return platform_status::Conflict;
    if (status == notFoundStatus)
        return platform_status::NotFound;
    const bool refused = (status >= 400 && status < 500) || status == unavailableStatus;
    return refused ? platform_status::Unavailable : statusForLostReply(call);
}

std::vector<table_row> parseRows(const json& document)
{
    std::vector<table_row> rows;
    for (const auto& row : document.at("rows"))
        rows.push_back(rowFromJson(row));
    return rows;
}

struct call_sender {
    http_exchange& exchange;

    http_answer operator()(const table_get& call) const
    {
        return exchange.send("GET", targetWithQuery("/v1/table/rows", { { "key", call.key } }));
    }
    http_answer operator()(const table_put& call) const
    {
        return exchange.send("PUT", rowTarget(call.key, call.expected), call.value, objectContentType);
    }
    http_answer operator()(const table_remove& call) const
    {
        return exchange.send("DELETE", rowTarget(call.key, call.expected));
    }
    http_answer operator()(const table_list& call) const
    {
        return exchange.send("GET",
            targetWithQuery("/v1/table/list",
                { { "prefix", call.prefix }, { "after", call.after }, { "limit", std::to_string(call.limit) } }));
    }
    http_answer operator()(const object_get& call) const
    {
        return exchange.send("GET", targetWithQuery("/v1/objects", { { "key", call.key } }));
    }
    http_answer operator()(const object_put& call) const
    {
        return exchange.send(
            "PUT", targetWithQuery("/v1/objects", { { "key", call.key } }), call.value, objectContentType);
    }

    static std::string rowTarget(const std::string& key, row_version expected)
    {
        return targetWithQuery("/v1/table/rows", { { "key", key }, { "expected", std::to_string(expected) } });
    }
};

struct rows_reader {
    const http_answer& answer;

    std::vector<table_row> operator()(const table_get&) const { return { rowFromJson(document()) }; }
    std::vector<table_row> operator()(const table_put&) const { return { rowFromJson(document()) }; }
    std::vector<table_row> operator()(const table_remove&) const { return rowsIfConflict(); }
    std::vector<table_row> operator()(const table_list&) const { return parseRows(document()); }
    std::vector<table_row> operator()(const object_get& call) const { return { { call.key, answer.body, 0 } }; }
    std::vector<table_row> operator()(const object_put&) const { return {}; }

    json document() const { return json::parse(answer.body); }
    std::vector<table_row> rowsIfConflict() const
    {
        if (answer.status != conflictStatus)
            return {};
        return { rowFromJson(document()) };
    }
};

platform_result parseAnswer(const platform_call& call, const http_answer& answer)
{
    const auto status = statusForResponse(call, answer.status);
    if (status != platform_status::Done && status != platform_status::Conflict)
        return { status, {} };
    return { status, std::visit(rows_reader { answer }, call) };
}

platform_result toResult(const platform_call& call, const http_answer& answer)
{
    if (answer.outcome == exchange_outcome::NotConnected)
        return { platform_status::Unavailable, {} };
    if (answer.outcome == exchange_outcome::ReplyLost)
        return { statusForLostReply(call), {} };
    try {
        return parseAnswer(call, answer);
    } catch (const json::exception&) {
        return { statusForLostReply(call), {} };
    } catch (const platform_error&) {
        return { statusForLostReply(call), {} };
    }
}

// Results of a batch that failed as a whole. The status of such a response says nothing about a single row, so Conflict
// and NotFound become Unavailable.
std::vector<platform_result> resultForEachCall(std::span<const platform_call> calls, const http_answer& answer)
{
    std::vector<platform_result> results;
    for (const auto& call : calls) {
        auto result = toResult(call, answer);
        if (result.status == platform_status::Conflict || result.status == platform_status::NotFound)
            result = { platform_status::Unavailable, {} };
        results.push_back(std::move(result));
    }
    return results;
}

std::vector<platform_result> parseBatch(std::span<const platform_call> calls, const std::string& body)
{
    const auto document = json::parse(body);
    if (!document.is_array() || document.size() != calls.size())
        throw platform_error("the batch response does not have one result per call");
    std::vector<platform_result> results;
    for (std::size_t i = 0; i < calls.size(); ++i)
        results.push_back({ statusForResponse(calls[i], document[i].at("status").get<int>()), parseRows(document[i]) });
    return results;
}

platform_health healthFromAnswer(const http_answer& answer)
{
    if (answer.outcome == exchange_outcome::ReplyLost)
        return platform_health::ReplyLost;
    const bool unavailable = answer.outcome == exchange_outcome::NotConnected || answer.status == unavailableStatus;
    return unavailable ? platform_health::Unavailable : platform_health::Answering;
}

const http_answer& requireOk(const http_answer& answer, const char* operation)
{
    if (answer.outcome == exchange_outcome::NotConnected)
        throw platform_error(std::string(operation) + ": the platform cannot be reached");
    if (answer.outcome == exchange_outcome::ReplyLost)
        throw platform_error(std::string(operation) + ": the platform's reply was lost");
    if (answer.status != okStatus)
        throw platform_error(std::string(operation) + ": the platform answered " + std::to_string(answer.status));
    return answer;
}

} // namespace

bool isTableCall(const platform_call& call)
{
    return !std::holds_alternative<object_get>(call) && !std::holds_alternative<object_put>(call);
}

platform_client::platform_client(const platform_client_options& options)
    : m_exchange(std::make_unique<http_exchange>(options.address, options.connectTimeout, options.replyTimeout))
{
}

platform_client::~platform_client() = default;

http_answer platform_client::recordHealth(http_answer answer)
{
    m_health = healthFromAnswer(answer);
    return answer;
}

platform_result platform_client::call(const platform_call& call)
{
    return toResult(call, recordHealth(std::visit(call_sender { *m_exchange }, call)));
}

std::vector<platform_result> platform_client::callBatch(std::span<const platform_call> calls)
{
    if (calls.empty())
        return {};
    json document = json::array();
    for (const auto& call : calls)
        document.push_back(callToJson(call));
    std::string body;
    try {
        body = document.dump();
    } catch (const json::exception&) {
        throw platform_error("keys and values of table rows must be valid UTF-8");
    }
    auto answer = recordHealth(m_exchange->send("POST", "/v1/table/batch", body));
    if (answer.outcome != exchange_outcome::Answered || answer.status != okStatus)
        return resultForEachCall(calls, answer);
    try {
        return parseBatch(calls, answer.body);
    } catch (const std::exception&) {
        answer.outcome = exchange_outcome::ReplyLost;
        return resultForEachCall(calls, answer);
    }
}

std::vector<listed_instance> platform_client::listInstances()
{
    const auto answer = recordHealth(m_exchange->send("GET", "/v1/instances"));
    requireOk(answer, "instance list");
    try {
        std::vector<listed_instance> instances;
        // A named variable, since a range-for does not extend the lifetime of the temporary that at() refers into.
        const auto document = json::parse(answer.body);
        for (const auto& instance : document.at("instances"))
            instances.push_back(instanceFromJson(instance));
        return instances;
    } catch (const json::exception& failure) {
        throw platform_error(std::string("instance list: not the expected JSON: ") + failure.what());
    }
}

void platform_client::registerInstance(const listed_instance& instance)
{
    requireOk(m_exchange->send("POST", "/v1/instances", instanceToJson(instance).dump()), "registration");
}

void platform_client::deregisterInstance(const instance_id& instance)
{
    requireOk(
        m_exchange->send("DELETE", targetWithQuery("/v1/instances", { { "instance", instance.str() } })), "deregistration");
}

} // namespace appleramp
