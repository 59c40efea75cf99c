#pragma once

#include "model/effects.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace Poco::Net {
class HTTPClientSession;
class HTTPResponse;
} // namespace Poco::Net

namespace appleramp {

// One request at the endpoint, on a thread of engine_client. It keeps itself alive until its answer has ended.
class engine_call : public std::enable_shared_from_this<engine_call> {
public:
    using event_sink = std::function<void(agent_event_body)>;

    engine_call(const std::string& host, std::uint16_t port, call_engine effect, event_sink sink);
    ~engine_call();

    // Sends the request and reports the answer piece by piece; returns when it has ended.
    void run();
    // Breaks the connection; run() then reports the call as cancelled.
    void cancel();

private:
    bool send();
    void receive();
    void pump(std::istream& stream);
    bool endedWhole(const Poco::Net::HTTPResponse& response);
    void fail(failure_cause cause, bool neverSent);

    call_engine m_effect;
    event_sink m_sink;
    std::unique_ptr<Poco::Net::HTTPClientSession> m_session;
    std::atomic<bool> m_cancelled = false;
    std::uint64_t m_received = 0;
};

} // namespace appleramp
