#pragma once

#include "agent/engine_call.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace appleramp {

// Gives the endpoint its calls, each on a thread of its own, and asks for its health. The number of calls at a time is
// bounded by the slots that the reducer grants.
class engine_client {
public:
    // Throws runtime_error if the URL has no numeric host and port.
    engine_client(const std::string& url, engine_call::event_sink sink);
    ~engine_client();
    engine_client(const engine_client&) = delete;
    engine_client& operator=(const engine_client&) = delete;

    void start(call_engine&& effect);
    void cancel(call_number call);
    // Reports engine_probed once the endpoint has answered or failed to. A probe while one is under way adds nothing.
    void probe();
    // Breaks what is running and waits for its threads.
    void stop();

private:
    void runCall(const std::shared_ptr<engine_call>& call, call_number number);
    void runProbes();
    engine_probed probeOnce() const;

    std::string m_host;
    std::uint16_t m_port = 0;
    engine_call::event_sink m_sink;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<call_number, std::shared_ptr<engine_call>> m_calls;
    bool m_probeWanted = false;
    bool m_stopping = false;
    std::thread m_prober;
};

} // namespace appleramp
