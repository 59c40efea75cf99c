#pragma once

#include "stand_ins/engine_exchange.h"
#include "stand_ins/engine_faults.h"
#include "stand_ins/http_listener.h"
#include "stand_ins/interruptible_pause.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>

namespace appleramp::stand_ins {

struct engine_host_options {
    // Zero: a port that the kernel chooses.
    std::uint16_t port = 0;
    std::uint16_t controlPort = 0;
    // Requests at a time; further ones are answered 503 before any work.
    std::uint32_t capacity = 64;
    // Requests at a time that a cold engine bears. One more and it falls over.
    std::uint32_t coldCapacity = 4;
    // Completed requests that make a cold engine warm.
    std::uint32_t warmAfter = 0;
    // Called after the engine has crashed; by default it only refuses connections until it is restarted.
    std::function<void()> onCrash;
};

// What every stand-in engine has: a listener, GET /health, a cold start, POST /faults on the service port and on a
// control port that outlives crashes. The work itself is a handler's.
class engine_host {
public:
    // Answers one exchange and calls finishWork() before the answer's last bytes, if it comes to that.
    using worker = std::function<void(engine_exchange&)>;

    // Requests to the uncounted paths are no load.
    engine_host(engine_host_options options, worker work, std::set<std::string> uncountedPaths = {});
    ~engine_host();
    engine_host(const engine_host&) = delete;
    engine_host& operator=(const engine_host&) = delete;

    std::uint16_t port() const { return m_listener.port(); }
    std::uint16_t controlPort() const { return m_control.port(); }
    std::string address() const { return m_listener.address(); }

    void setFaults(const engine_faults& faults);
    void crash();
    // Comes back with a new boot id, cold.
    void restart();
    void turnCold();

    // From now on the exchange is no load. Before the last bytes, so that the caller's next request does not meet it.
    void finishWork(engine_exchange& exchange);

    // True if the fault's count is not used up; takes one of it.
    bool takeDrop(std::uint32_t engine_faults::*remaining);

    // Wakes early when the engine falls over: then it is false.
    interruptible_pause& pause() { return m_pause; }

    std::string bootId() const;
    std::uint32_t running() const;
    std::uint32_t mostRunning() const;
    std::uint64_t crashes() const;
    bool warm() const;

private:
    enum class admission {
        Admitted,
        Overloaded,
        FallsOver,
    };

    void serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    void serveControl(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    void serveWork(engine_exchange& exchange);
    void answerHealth(Poco::Net::HTTPServerResponse& response);
    void changeFaults(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response);
    void apply(const engine_incidents& incidents);
    bool crashesEngine(const std::string& body) const;
    admission enter();
    void leave();

    const engine_host_options m_options;
    const worker m_work;
    const std::set<std::string> m_uncountedPaths;
    interruptible_pause m_pause;
    mutable std::mutex m_mutex;
    engine_faults m_faults;
    std::string m_bootId;
    std::uint32_t m_running = 0;
    std::uint32_t m_mostRunning = 0;
    std::uint32_t m_completedSinceCold = 0;
    std::uint64_t m_crashes = 0;
    http_listener m_listener;
    http_listener m_control;
};

} // namespace appleramp::stand_ins
