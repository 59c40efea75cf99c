#pragma once

#include "fakes/event_queue.h"
#include "model/effects.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace appleramp::tests {

struct fake_endpoint_options {
    // Requests at a time that it bears when warm and when cold. One more and it falls over.
    std::uint32_t warmCapacity = 4;
    std::uint32_t coldCapacity = 1;
    // Completed requests that make it warm.
    std::uint32_t warmAfter = 4;
    duration shortestWork = std::chrono::milliseconds(20);
    duration longestWork = std::chrono::milliseconds(400);
    duration restartTime = std::chrono::seconds(2);
    // After it turns cold, its health report says so at once; it falls over under full load only after this time.
    duration coldGrace = std::chrono::milliseconds(1500);
};

// A model engine or plain service in virtual time: it answers each call in chunks, bears little while it is cold, and
// falls over under more. It outlives the agent beside it.
class fake_endpoint {
public:
    using event_sink = std::function<void(agent_event_body)>;
    using execution_listener = std::function<void(const service_request&)>;

    fake_endpoint(event_queue& queue, std::uint64_t seed, fake_endpoint_options options, execution_listener onExecution);

    // Where events go; a new agent beside the endpoint takes the place of the one before.
    void attach(event_sink sink);
    void start(const call_engine& effect);
    void cancel(call_number call);
    void probe();

    // All running calls break off; the endpoint comes back cold after its restart time.
    void crash();
    // The warm-up is lost although the process goes on: its health report and its work slow down first.
    void turnCold();
    // The next call is taken, run, and its connection dropped.
    void dropNext() { m_dropNext = true; }

    std::uint32_t overloads() const { return m_overloads; }
    std::uint32_t running() const { return static_cast<std::uint32_t>(m_calls.size()); }
    bool isUp() const { return m_isUp; }

private:
    struct running_call {
        service_request request;
        std::uint64_t sinkRound = 0;
        call_number number = 0;
    };

    bool isCold() const { return m_completedSinceCold < m_options.warmAfter; }
    // What it reports, and what it falls over above.
    std::uint32_t reportedCapacity() const { return isCold() ? m_options.coldCapacity : m_options.warmCapacity; }
    std::uint32_t bears() const;
    void report(std::uint64_t sinkRound, agent_event_body event);
    void scheduleWork(std::uint64_t call);
    void execute(std::uint64_t call);
    void answer(std::uint64_t call);

    event_queue& m_queue;
    std::mt19937_64 m_random;
    fake_endpoint_options m_options;
    execution_listener m_onExecution;
    event_sink m_sink;
    // Counts agents: what one agent's calls bring goes to no other.
    std::uint64_t m_sinkRound = 0;
    std::map<std::uint64_t, running_call> m_calls;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_boots = 1;
    bool m_isUp = true;
    bool m_dropNext = false;
    std::uint32_t m_completedSinceCold = 0;
    instant m_bearsWarmLoadUntil;
    std::uint32_t m_overloads = 0;
};

// The chunks of the one right answer to a request.
std::vector<std::string> expectedAnswer(const service_request& request);

} // namespace appleramp::tests
