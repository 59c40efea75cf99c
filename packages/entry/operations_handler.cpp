#include "entry/operations_handler.h"

#include "entry/caller_handler.h"
#include "entry/reply_writer.h"
#include "entry/request_reader.h"
#include "observe/explanation.h"
#include "observe/metrics_registry.h"
#include "wire/configuration_codec.h"
#include "wire/wire_error.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

namespace appleramp {

namespace {

void sendText(Poco::Net::HTTPServerResponse& response, const std::string& type, const std::string& text)
{
    response.setContentType(type);
    response.sendBuffer(text.data(), text.size());
}

// Parses {"change_id": "...", "change": {"type": "...", "value": {...}}}. Throws wire_error if the body is malformed.
change_requested readChange(const std::string& body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("change_id") || !document["change_id"].is_string()
        || !document.contains("change"))
        throw wire_error("the body must be a JSON object with 'change_id' and 'change'");
    return { 0, document["change_id"].get<std::string>(), decodeChange(document["change"].dump()) };
}

} // namespace

operations_handler::operations_handler(entry_services& services)
    : m_services(services)
{
}

void operations_handler::handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    if (const auto rejected = checkHead(request, m_services.maxHeaderBytes)) {
        reply_writer(request, response).write(reply_problem { 0, *rejected });
        return;
    }
    const Poco::URI uri(request.getURI());
    const auto& path = uri.getPath();
    if (path == "/v1/status")
        serveThroughReducer(m_services, request, response,
            [](request_number number) { return status_requested { number }; });
    else if (path == "/v1/metrics")
        sendText(response, "text/plain; version=0.0.4", m_services.metrics.prometheusText());
    else if (path == "/v1/operations/explain")
        serveExplanation(uri, request, response);
    else if (path == "/v1/operations/configuration")
        serveThroughReducer(m_services, request, response,
            [](request_number number) { return configuration_requested { number }; });
    else if (path == "/v1/operations/changes" && request.getMethod() == "POST")
        submitChange(request, response);
    else
        reply_writer(request, response)
            .write(reply_problem { 0, { 404, execution::NotStarted, "unknown_path", "no such path: " + path, {} } });
}

void operations_handler::serveExplanation(const Poco::URI& uri, Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response)
{
    const auto parameters = uri.getQueryParameters();
    if (parameters.empty() || parameters.front().first != "subject") {
        reply_writer(request, response)
            .write(reply_problem { 0, { 400, execution::NotStarted, "bad_request", "name a subject=", {} } });
        return;
    }
    sendText(response, "application/json", explanationJson(m_services.journal, parameters.front().second));
}

void operations_handler::submitChange(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    const auto body = readBody(request, limitsOf(m_services));
    if (const auto* rejected = std::get_if<problem>(&body)) {
        reply_writer(request, response).write(reply_problem { 0, *rejected });
        return;
    }
    try {
        auto event = readChange(std::get<std::string>(body));
        serveThroughReducer(m_services, request, response, [&event](request_number number) {
            event.number = number;
            return event;
        });
    } catch (const wire_error& cause) {
        reply_writer(request, response)
            .write(reply_problem { 0, { 400, execution::NotRun, "bad_change", cause.what(), {} } });
    }
}

} // namespace appleramp
