#include "entry/caller_handler.h"

#include "entry/reply_writer.h"
#include "entry/request_reader.h"
#include "memory/body_budget.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>

#include <algorithm>
#include <array>

namespace appleramp {

namespace {

// How often the connection is checked for a disconnect while no piece of the reply is available.
constexpr duration disconnectCheckInterval = std::chrono::milliseconds(500);
constexpr duration shortRetryAfter = std::chrono::milliseconds(500);
constexpr std::array<std::string_view, 2> modelPaths { "/v1/chat/completions", "/v1/completions" };

std::string queryValue(const Poco::URI& uri, const std::string& name)
{
    for (const auto& [key, value] : uri.getQueryParameters()) {
        if (key == name)
            return value;
    }
    return {};
}

bool isServicePath(const std::string& path)
{
    const bool isModel = std::find(modelPaths.begin(), modelPaths.end(), path) != modelPaths.end();
    return isModel || path.starts_with("/v1/services/");
}

problem notFound(const std::string& path)
{
    return { 404, execution::NotStarted, "unknown_path", "no such path: " + path, std::nullopt };
}

problem noRoom()
{
    return { 503, execution::NotStarted, "entry_full", "this entry holds as many bytes of requests as it may", shortRetryAfter };
}

} // namespace

caller_handler::caller_handler(entry_services& services)
    : m_services(services)
{
}

void caller_handler::handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    if (const auto rejected = checkHead(request, m_services.maxHeaderBytes)) {
        reply_writer(request, response).write(reply_problem { 0, *rejected });
        return;
    }
    const Poco::URI uri(request.getURI());
    if (uri.getPath() == "/v1/addresses") {
        const team_id team(queryValue(uri, "team"));
        serveThroughReducer(m_services, request, response,
            [&team](request_number number) { return addresses_requested { number, team }; });
        return;
    }
    if (uri.getPath() == "/v1/keys") {
        const service_id service(queryValue(uri, "service"));
        serveThroughReducer(m_services, request, response,
            [&service](request_number number) { return keys_requested { number, service }; });
        return;
    }
    if (!isServicePath(uri.getPath())) {
        reply_writer(request, response).write(reply_problem { 0, notFound(uri.getPath()) });
        return;
    }
    // A body without a length is refused unread.
    const auto announced = request.hasContentLength() ? std::max<std::int64_t>(request.getContentLength64(), 0) : 0;
    const auto room = m_services.bodies.reserve(std::min(static_cast<std::size_t>(announced), m_services.maxBodyBytes));
    if (!room) {
        // The rest of the body would be parsed as the next request.
        response.setKeepAlive(false);
        reply_writer(request, response).write(reply_problem { 0, noRoom() });
        return;
    }
    auto read = readServiceRequest(request, limitsOf(m_services), m_services.defaultTimeout);
    if (const auto* rejected = std::get_if<problem>(&read)) {
        reply_writer(request, response).write(reply_problem { 0, *rejected });
        return;
    }
    serveThroughReducer(m_services, request, response, [&read](request_number number) {
        return request_received { number, std::move(std::get<service_request>(read)) };
    });
}

void serveThroughReducer(entry_services& services, Poco::Net::HTTPServerRequest& request,
    Poco::Net::HTTPServerResponse& response, const std::function<entry_event_body(request_number)>& makeEvent)
{
    const auto [number, channel] = services.replies.open();
    services.post(makeEvent(number));
    reply_writer writer(request, response);
    try {
        for (bool complete = false; !complete;) {
            const auto piece = channel->pop(disconnectCheckInterval);
            if (services.isStopping && !response.sent())
                response.setKeepAlive(false);
            if (piece)
                complete = writer.write(*piece);
            else if (writer.isCallerDisconnected())
                throw Poco::IOException("caller closed the connection");
        }
    } catch (const Poco::Exception&) {
        services.post(caller_left { number });
    }
    services.replies.close(number);
}

} // namespace appleramp
