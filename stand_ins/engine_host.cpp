#include "stand_ins/engine_host.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/UUIDGenerator.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace appleramp::stand_ins {

namespace {

using nlohmann::json;

std::string newBootId()
{
    return Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
}

} // namespace

engine_host::engine_host(engine_host_options options, worker work, std::set<std::string> uncountedPaths)
    : m_options(std::move(options))
    , m_work(std::move(work))
    , m_uncountedPaths(std::move(uncountedPaths))
    , m_bootId(newBootId())
    , m_listener([this](auto& request, auto& response) { serve(request, response); })
    , m_control([this](auto& request, auto& response) { serveControl(request, response); })
{
    m_listener.open(m_options.port);
    m_control.open(m_options.controlPort);
}

engine_host::~engine_host()
{
    m_control.close();
    m_listener.close();
    m_pause.interrupt();
}

void engine_host::setFaults(const engine_faults& faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
}

void engine_host::crash()
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_crashes;
    }
    m_listener.close();
    m_pause.interrupt();
    if (m_options.onCrash)
        m_options.onCrash();
}

void engine_host::restart()
{
    {
        const std::lock_guard lock(m_mutex);
        m_bootId = newBootId();
        m_completedSinceCold = 0;
    }
    m_listener.open();
}

void engine_host::turnCold()
{
    const std::lock_guard lock(m_mutex);
    m_completedSinceCold = 0;
}

std::string engine_host::bootId() const
{
    const std::lock_guard lock(m_mutex);
    return m_bootId;
}

std::uint32_t engine_host::running() const
{
    const std::lock_guard lock(m_mutex);
    return m_running;
}

std::uint32_t engine_host::mostRunning() const
{
    const std::lock_guard lock(m_mutex);
    return m_mostRunning;
}

std::uint64_t engine_host::crashes() const
{
    const std::lock_guard lock(m_mutex);
    return m_crashes;
}

bool engine_host::warm() const
{
    const std::lock_guard lock(m_mutex);
    return m_completedSinceCold >= m_options.warmAfter;
}

void engine_host::serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    engine_exchange exchange { request, response, parseRequestLine(request), {}, m_pause.round() };
    if (exchange.line.path == "/health")
        return answerHealth(response);
    if (exchange.line.path == "/faults")
        return changeFaults(request, response);
    exchange.body = readBody(request);
    if (m_uncountedPaths.contains(exchange.line.path)) {
        m_work(exchange);
        return;
    }
    if (crashesEngine(exchange.body)) {
        crash();
        return dropConnection(request);
    }
    serveWork(exchange);
}

void engine_host::serveWork(engine_exchange& exchange)
{
    switch (enter()) {
    case admission::FallsOver:
        crash();
        return dropConnection(exchange.request);
    case admission::Overloaded:
        exchange.response.set("Retry-After", "1");
        return sendError(exchange.response, 503, "overloaded");
    case admission::Admitted:
        break;
    }
    try {
        std::chrono::milliseconds stall {};
        {
            const std::lock_guard lock(m_mutex);
            stall = m_faults.stall;
        }
        if (takeDrop(&engine_faults::dropBeforeWork) || !m_pause.waitFor(exchange.round, stall))
            dropConnection(exchange.request);
        else
            m_work(exchange);
    } catch (...) {
        if (!exchange.finished)
            leave();
        throw;
    }
    if (!exchange.finished)
        leave();
}

void engine_host::finishWork(engine_exchange& exchange)
{
    const std::lock_guard lock(m_mutex);
    exchange.finished = true;
    --m_running;
    ++m_completedSinceCold;
}

void engine_host::serveControl(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    if (parseRequestLine(request).path == "/faults")
        return changeFaults(request, response);
    sendError(response, 404, "the control port has /faults only");
}

void engine_host::answerHealth(Poco::Net::HTTPServerResponse& response)
{
    json document;
    {
        const std::lock_guard lock(m_mutex);
        document = { { "healthy", !m_faults.unhealthy }, { "boot_id", m_bootId }, { "running", m_running },
            { "capacity", m_options.capacity } };
    }
    sendJson(response, 200, document);
}

void engine_host::changeFaults(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    engine_incidents incidents;
    json standing;
    try {
        const auto body = readBody(request);
        const auto document = body.empty() ? json::object() : json::parse(body);
        incidents = incidentsFromJson(document);
        const std::lock_guard lock(m_mutex);
        m_faults = updated(m_faults, document);
        standing = faultsToJson(m_faults);
    } catch (const json::exception& failure) {
        return sendError(response, 400, failure.what());
    }
    // The answer goes first: a crash cuts this connection too.
    sendJson(response, 200, standing);
    apply(incidents);
}

void engine_host::apply(const engine_incidents& incidents)
{
    if (incidents.turnCold)
        turnCold();
    if (incidents.crash)
        crash();
    if (incidents.restart)
        restart();
}

bool engine_host::crashesEngine(const std::string& body) const
{
    const std::lock_guard lock(m_mutex);
    return !m_faults.crashMarker.empty() && body.find(m_faults.crashMarker) != std::string::npos;
}

bool engine_host::takeDrop(std::uint32_t engine_faults::*remaining)
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.*remaining == 0)
        return false;
    --(m_faults.*remaining);
    return true;
}

engine_host::admission engine_host::enter()
{
    const std::lock_guard lock(m_mutex);
    const bool cold = m_completedSinceCold < m_options.warmAfter;
    if (cold && m_running >= m_options.coldCapacity)
        return admission::FallsOver;
    if (m_running >= m_options.capacity)
        return admission::Overloaded;
    ++m_running;
    m_mostRunning = std::max(m_mostRunning, m_running);
    return admission::Admitted;
}

void engine_host::leave()
{
    const std::lock_guard lock(m_mutex);
    --m_running;
}

} // namespace appleramp::stand_ins
