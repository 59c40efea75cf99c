#include "stand_ins/plain_service.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <nlohmann/json.hpp>

namespace appleramp::stand_ins {

namespace {

constexpr auto executionsPath = "/orders/executions";

} // namespace

plain_service::plain_service(const plain_service_options& options)
    : m_options(options)
    , m_host(
          options.host, [this](engine_exchange& exchange) { work(exchange); }, { executionsPath })
{
}

std::uint64_t plain_service::executions(const std::string& key) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_executionsByKey.find(key);
    return found == m_executionsByKey.end() ? 0 : found->second;
}

std::uint64_t plain_service::executions() const
{
    const std::lock_guard lock(m_mutex);
    return m_executions;
}

void plain_service::work(engine_exchange& exchange)
{
    const auto& line = exchange.line;
    if (line.path == executionsPath) {
        return answerExecutions(exchange);
    }
    if (line.path == "/orders" && line.method == "POST")
        return placeOrder(exchange);
    if (line.path == "/availability" && line.method == "GET") {
        m_host.finishWork(exchange);
        return sendJson(exchange.response, 200, { { "available", true } });
    }
    sendError(exchange.response, 404, "no such path");
}

void plain_service::placeOrder(engine_exchange& exchange)
{
    if (!m_host.pause().waitFor(exchange.round, m_options.workTime)) {
        return dropConnection(exchange.request);
    }
    const auto key = exchange.request.get("Idempotency-Key", "");
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(m_mutex);
        ++m_executionsByKey[key];
        number = ++m_executions;
    }
    if (m_host.takeDrop(&engine_faults::dropAfterWork)) {
        return dropConnection(exchange.request);
    }
    m_host.finishWork(exchange);
    sendJson(exchange.response, 200, { { "order", number }, { "key", key } });
}

void plain_service::answerExecutions(engine_exchange& exchange) const
{
    nlohmann::json document;
    {
        const std::lock_guard lock(m_mutex);
        document = { { "counts", m_executionsByKey }, { "total", m_executions } };
    }
    sendJson(exchange.response, 200, document);
}

} // namespace appleramp::stand_ins
