#include "agent/agent_operations_handler.h"

#include "observe/explanation.h"
#include "observe/metrics_registry.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

namespace appleramp {

namespace {

constexpr auto jsonType = "application/json";
constexpr auto problemType = "application/problem+json";

void sendText(Poco::Net::HTTPServerResponse& response, const std::string& type, const std::string& text)
{
    // The connection is closed, as an unread request body would be parsed as the next request.
    response.setKeepAlive(false);
    response.setContentType(type);
    response.sendBuffer(text.data(), text.size());
}

void sendProblem(Poco::Net::HTTPServerResponse& response, Poco::Net::HTTPResponse::HTTPStatus status,
    const std::string& reason, const std::string& detail)
{
    const nlohmann::json document { { "type", "about:blank" }, { "title", reason }, { "status", status },
        { "reason", reason }, { "detail", detail }, { "execution", "not_started" } };
    response.setStatusAndReason(status);
    sendText(response, problemType, document.dump());
}

} // namespace

agent_operations_handler::agent_operations_handler(const decision_journal& journal, const metrics_registry& metrics)
    : m_journal(journal)
    , m_metrics(metrics)
{
}

void agent_operations_handler::handleRequest(Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response)
{
    try {
        const Poco::URI uri(request.getURI());
        const auto parameters = uri.getQueryParameters();
        if (uri.getPath() == "/v1/metrics")
            sendText(response, "text/plain; version=0.0.4", m_metrics.prometheusText());
        else if (uri.getPath() != "/v1/operations/explain")
            sendProblem(response, Poco::Net::HTTPResponse::HTTP_NOT_FOUND, "unknown_path",
                "an agent serves /v1/metrics and /v1/operations/explain; ask an entry for the rest");
        else if (parameters.empty() || parameters.front().first != "subject")
            sendProblem(response, Poco::Net::HTTPResponse::HTTP_BAD_REQUEST, "bad_request", "name a subject=");
        else
            sendText(response, jsonType, explanationJson(m_journal, parameters.front().second));
    } catch (const Poco::SyntaxException&) {
        sendProblem(response, Poco::Net::HTTPResponse::HTTP_BAD_REQUEST, "bad_request", "the path is malformed");
    }
}

} // namespace appleramp
