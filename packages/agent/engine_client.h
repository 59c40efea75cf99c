#pragma once

#include "agent/engine_call.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace appleramp {

// Sends calls to the endpoint, each on its own thread, and queries its health on another. The number of concurrent calls
// is bounded by the slots that the reducer grants.
class engine_client {
public:
    // Throws runtime_error if the URL is malformed.
    engine_client(const std::string& url, engine_call::event_sink sink);
    ~engine_client();
    engine_client(const engine_client&) = delete;
    engine_client& operator=(const engine_client&) = delete;

    void start(call_engine&& effect);
    void cancel(call_number call);
    // Requests a health query, whose result is reported as engine_probed. Requests that come before the next query starts
    // are merged into it.
    void probe();
    // Cancels the running calls, and waits until they have ended and the probe thread has finished.
    void stop();

private:
    void runCall(const std::shared_ptr<engine_call>& call, call_number number);
    void probeLoop();
    engine_probed requestHealth() const;

    std::string m_host;
    std::uint16_t m_port = 0;
    engine_call::event_sink m_sink;
    std::mutex m_mutex;
    std::condition_variable m_stateChanged;
    std::map<call_number, std::shared_ptr<engine_call>> m_calls;
    bool m_probeRequested = false;
    bool m_stopping = false;
    std::thread m_probeThread;
};

} // namespace appleramp
