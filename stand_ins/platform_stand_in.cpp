#include "stand_ins/platform_stand_in.h"

#include "platform/platform_error.h"
#include "platform/platform_json.h"
#include "stand_ins/http_reply.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <nlohmann/json.hpp>

namespace appleramp::stand_ins {

namespace {

using nlohmann::json;

constexpr auto hundredPercent = 100;

// An answer that has been worked out but not yet sent.
struct prepared_answer {
    int status = 200;
    std::string body;
    const char* contentType = "application/json";
};

int statusCode(platform_status status)
{
    switch (status) {
    case platform_status::Done:
        return 200;
    case platform_status::Conflict:
        return 409;
    case platform_status::NotFound:
        return 404;
    default:
        return 503;
    }
}

json rowsToJson(const std::vector<table_row>& rows)
{
    json list = json::array();
    for (const auto& row : rows)
        list.push_back(rowToJson(row));
    return list;
}

prepared_answer errorAnswer(int status, const std::string& reason)
{
    return { status, json { { "error", reason } }.dump() };
}

prepared_answer rowAnswer(const platform_result& result)
{
    const auto document = result.rows.empty() ? json::object() : rowToJson(result.rows.front());
    return { statusCode(result.status), document.dump() };
}

prepared_answer serveRow(table_store& store, const request_line& line, std::string body)
{
    const auto key = line.parameter("key");
    if (line.method == "GET")
        return rowAnswer(store.apply(table_get { key }));
    if (line.method == "PUT")
        return rowAnswer(store.apply(table_put { key, std::move(body), line.number("expected") }));
    if (line.method == "DELETE")
        return rowAnswer(store.apply(table_remove { key, line.number("expected") }));
    return errorAnswer(405, "rows take GET, PUT and DELETE");
}

prepared_answer serveList(table_store& store, const request_line& line)
{
    const table_list call { line.parameter("prefix"), line.parameter("after"),
        static_cast<std::uint32_t>(line.number("limit")) };
    return { 200, json { { "rows", rowsToJson(store.apply(call).rows) } }.dump() };
}

prepared_answer serveBatch(table_store& store, const std::string& body)
{
    std::vector<platform_call> calls;
    for (const auto& call : json::parse(body))
        calls.push_back(callFromJson(call));
    json results = json::array();
    for (const auto& call : calls) {
        const auto result = store.apply(call);
        results.push_back({ { "status", statusCode(result.status) }, { "rows", rowsToJson(result.rows) } });
    }
    return { 200, results.dump() };
}

prepared_answer serveObject(table_store& store, const request_line& line, std::string body)
{
    const auto key = line.parameter("key");
    if (line.method == "PUT")
        return rowAnswer(store.apply(object_put { key, std::move(body) }));
    if (line.method != "GET")
        return errorAnswer(405, "objects take GET and PUT");
    auto result = store.apply(object_get { key });
    if (result.rows.empty())
        return errorAnswer(404, "no such object");
    return { 200, std::move(result.rows.front().value), "application/octet-stream" };
}

prepared_answer serveInstances(instance_registry& instances, const request_line& line, const std::string& body,
    std::chrono::milliseconds lag)
{
    const auto now = instance_registry::clock::now();
    if (line.method == "POST") {
        instances.put(instanceFromJson(json::parse(body)), now);
        return { 200, "{}" };
    }
    if (line.method == "DELETE") {
        instances.remove(instance_id(line.parameter("instance")), now);
        return { 200, "{}" };
    }
    json list = json::array();
    for (const auto& instance : instances.list(now, lag))
        list.push_back(instanceToJson(instance));
    return { 200, json { { "instances", std::move(list) } }.dump() };
}

} // namespace

platform_stand_in::platform_stand_in(const platform_stand_in_options& options)
    : m_random(options.seed)
    , m_listener([this](auto& request, auto& response) { serve(request, response); })
    , m_control([this](auto& request, auto& response) { serveControl(request, response); })
{
    m_listener.open(options.port);
    m_control.open(options.controlPort);
    m_reverter = std::thread([this] { revertWhenDue(); });
}

platform_stand_in::~platform_stand_in()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_faultsChanged.notify_all();
    }
    m_reverter.join();
    m_pause.interrupt();
    m_control.close();
    m_listener.close();
}

void platform_stand_in::setFaults(const platform_faults& faults)
{
    {
        const std::lock_guard lock(m_mutex);
        m_faults = faults;
        ++m_faultsNumber;
        m_faultsChanged.notify_all();
    }
    if (faults.down) {
        m_pause.interrupt();
        m_listener.close();
    } else {
        m_listener.open();
    }
}

platform_faults platform_stand_in::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

std::uint64_t platform_stand_in::exchanges() const
{
    const std::lock_guard lock(m_mutex);
    return m_exchanges;
}

void platform_stand_in::awaitExchanges(std::uint64_t count) const
{
    std::unique_lock lock(m_mutex);
    m_exchanged.wait(lock, [&] { return m_exchanges >= count; });
}

void platform_stand_in::serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    const auto round = m_pause.round();
    const auto line = parseRequestLine(request);
    if (line.path == "/faults")
        return changeFaults(request, response);
    auto body = readBody(request);
    const auto standing = faults();
    if (!m_pause.waitFor(round, standing.delay))
        return dropConnection(request);
    prepared_answer answer;
    try {
        if (line.path == "/v1/table/rows")
            answer = serveRow(m_store, line, std::move(body));
        else if (line.path == "/v1/table/list")
            answer = serveList(m_store, line);
        else if (line.path == "/v1/table/batch")
            answer = serveBatch(m_store, body);
        else if (line.path == "/v1/objects")
            answer = serveObject(m_store, line, std::move(body));
        else if (line.path == "/v1/instances")
            answer = serveInstances(m_instances, line, body, standing.lag);
        else
            answer = errorAnswer(404, "no such path");
    } catch (const json::exception& failure) {
        answer = errorAnswer(400, failure.what());
    } catch (const platform_error& failure) {
        answer = errorAnswer(400, failure.what());
    } catch (const Poco::SyntaxException& failure) {
        answer = errorAnswer(400, failure.displayText());
    }
    if (losesReply())
        return dropConnection(request);
    response.setContentType(answer.contentType);
    sendBytes(response, answer.status, answer.body);
}

void platform_stand_in::serveControl(
    Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    if (parseRequestLine(request).path == "/faults")
        return changeFaults(request, response);
    sendError(response, 404, "the control port has /faults only");
}

void platform_stand_in::changeFaults(
    Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    auto standing = faults();
    if (request.getMethod() == "POST") {
        try {
            standing = updated(standing, json::parse(readBody(request)));
        } catch (const json::exception& failure) {
            return sendError(response, 400, failure.what());
        }
        // The answer goes first: going down cuts this connection too.
        sendJson(response, 200, faultsToJson(standing));
        return setFaults(standing);
    }
    sendJson(response, 200, faultsToJson(standing));
}

bool platform_stand_in::losesReply()
{
    const std::lock_guard lock(m_mutex);
    ++m_exchanges;
    m_exchanged.notify_all();
    return std::uniform_int_distribution<std::uint32_t>(1, hundredPercent)(m_random) <= m_faults.loseReplyPercent;
}

void platform_stand_in::revertWhenDue()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        if (!m_faults.revertAfter) {
            m_faultsChanged.wait(lock);
            continue;
        }
        const auto number = m_faultsNumber;
        const bool changed = m_faultsChanged.wait_for(
            lock, *m_faults.revertAfter, [&] { return m_stopping || m_faultsNumber != number; });
        if (changed)
            continue;
        lock.unlock();
        setFaults({});
        lock.lock();
    }
}

} // namespace appleramp::stand_ins
