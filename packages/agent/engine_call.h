#pragma once

#include "model/effects.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Poco::Net {
class HTTPClientSession;
} // namespace Poco::Net

namespace appleramp {

enum class request_delivery;

// One request to the endpoint, run by a thread of engine_client. Reports the response as events to the sink.
// The thread holds a reference to the call until run() returns.
class engine_call : public std::enable_shared_from_this<engine_call> {
public:
    using event_sink = std::function<void(agent_event_body)>;

    engine_call(const std::string& host, std::uint16_t port, call_engine effect, event_sink sink);
    ~engine_call();

    // Sends the request and reports the response as it arrives. Returns when the response has ended or failed.
    void run();
    // Aborts the connection, so that run() reports the call as cancelled. Called from another thread than run().
    void cancel();

private:
    // Nothing if the call failed.
    std::optional<request_delivery> send();
    void receive(request_delivery delivery);
    void reportFailure(failure_cause cause, bool neverSent);

    call_engine m_effect;
    event_sink m_sink;
    std::unique_ptr<Poco::Net::HTTPClientSession> m_session;
    std::atomic<bool> m_cancelled = false;
};

} // namespace appleramp
