#include "agent/engine_client.h"

#include "blockinghttp/response_error.h"
#include "blockinghttp/response_reader.h"
#include "runtime/runtime_error.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

namespace appleramp {

namespace {

constexpr int probeTimeoutSeconds = 1;

} // namespace

engine_client::engine_client(const std::string& url, engine_call::event_sink sink)
    : m_sink(std::move(sink))
{
    try {
        const Poco::URI uri(url);
        m_host = uri.getHost();
        m_port = uri.getPort();
    } catch (const Poco::Exception& cause) {
        throw runtime_error("invalid URL of the endpoint: " + cause.displayText());
    }
    m_probeThread = std::thread([this] { probeLoop(); });
}

engine_client::~engine_client() { stop(); }

void engine_client::start(call_engine&& effect)
{
    const auto number = effect.call;
    auto call = std::make_shared<engine_call>(m_host, m_port, std::move(effect), m_sink);
    {
        const std::lock_guard lock(m_mutex);
        m_calls.emplace(number, call);
    }
    std::thread([this, call, number] { runCall(call, number); }).detach();
}

void engine_client::cancel(call_number call)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_calls.find(call);
    if (found != m_calls.end())
        found->second->cancel();
}

void engine_client::probe()
{
    {
        const std::lock_guard lock(m_mutex);
        m_probeRequested = true;
    }
    m_stateChanged.notify_all();
}

void engine_client::stop()
{
    {
        std::unique_lock lock(m_mutex);
        m_stopping = true;
        for (const auto& [number, call] : m_calls)
            call->cancel();
        m_stateChanged.notify_all();
        m_stateChanged.wait(lock, [this] { return m_calls.empty(); });
    }
    if (m_probeThread.joinable())
        m_probeThread.join();
}

void engine_client::runCall(const std::shared_ptr<engine_call>& call, call_number number)
{
    call->run();
    const std::lock_guard lock(m_mutex);
    m_calls.erase(number);
    // Notified under the lock: once it is released, stop() may return and this object may be destroyed.
    m_stateChanged.notify_all();
}

void engine_client::probeLoop()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_stateChanged.wait(lock, [this] { return m_probeRequested || m_stopping; });
        if (m_stopping)
            return;
        m_probeRequested = false;
        lock.unlock();
        m_sink(requestHealth());
        lock.lock();
    }
}

engine_probed engine_client::requestHealth() const
{
    engine_probed report;
    try {
        Poco::Net::HTTPClientSession session(m_host, m_port);
        session.setTimeout(Poco::Timespan(probeTimeoutSeconds, 0));
        Poco::Net::HTTPRequest request("GET", "/health", Poco::Net::HTTPMessage::HTTP_1_1);
        const request_delivery delivery = writeRequest(session, request, {});
        response_reader reader(session.socket(), request.getMethod(), delivery);
        reader.readHead();
        const auto document = nlohmann::json::parse(reader.readWholeBody());
        report.healthy = document.at("healthy").get<bool>();
        report.bootId = document.at("boot_id").get<std::string>();
        report.running = document.at("running").get<std::uint32_t>();
        report.capacity = document.at("capacity").get<std::uint32_t>();
    } catch (const Poco::Exception&) {
        report.healthy = false;
    } catch (const response_error&) {
        report.healthy = false;
    } catch (const nlohmann::json::exception&) {
        report.healthy = false;
    }
    return report;
}

} // namespace appleramp
