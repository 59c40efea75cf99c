#pragma once

#include "fakes/event_queue.h"
#include "model/effects.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace appleramp::tests {

struct fake_endpoint_options {
    // Most concurrent requests while warm and while cold. One more crashes it.
    std::uint32_t warmCapacity = 4;
    std::uint32_t coldCapacity = 1;
    // Completed requests after which it is warm.
    std::uint32_t warmAfter = 4;
    duration shortestWork = std::chrono::milliseconds(20);
    duration longestWork = std::chrono::milliseconds(400);
    duration restartTime = std::chrono::seconds(2);
    // After it turns cold, its health reports show the cold capacity at once, but for this time it still withstands the
    // warm load.
    duration coldGrace = std::chrono::milliseconds(1500);
};

// A model engine or plain service in virtual time. It answers each call in chunks, has less capacity while it is cold,
// and crashes above its capacity. It keeps running when its agent restarts.
class fake_endpoint {
public:
    using event_sink = std::function<void(agent_event_body)>;
    using execution_listener = std::function<void(const service_request&)>;

    fake_endpoint(event_queue& queue, std::uint64_t seed, fake_endpoint_options options, execution_listener onExecution);

    // Sets the receiver of events. A new agent replaces the previous one, which gets no further events.
    void attach(event_sink sink);
    void start(const call_engine& effect);
    void cancel(call_number call);
    void probe();

    // Aborts all running calls. The endpoint comes back cold after its restart time.
    void crash();
    // Makes the endpoint cold without a restart. Its reported capacity falls and its work slows down at once; the load
    // at which it crashes falls after coldGrace.
    void loseWarmUp();
    // The next call to finish runs to its end, but its connection is dropped instead of answering.
    void dropNextAnswer() { m_dropsNextAnswer = true; }

    std::uint32_t overloads() const { return m_overloads; }
    std::uint32_t running() const { return static_cast<std::uint32_t>(m_calls.size()); }
    bool isUp() const { return m_isUp; }

private:
    struct running_call {
        service_request request;
        std::uint64_t agentGeneration = 0;
        call_number number = 0;
    };

    bool isCold() const { return m_completedSinceCold < m_options.warmAfter; }
    // The capacity in its health reports, and the load above which it crashes; they differ during coldGrace.
    std::uint32_t reportedCapacity() const { return isCold() ? m_options.coldCapacity : m_options.warmCapacity; }
    std::uint32_t currentCapacity() const;
    void report(std::uint64_t agentGeneration, agent_event_body event);
    void scheduleWork(std::uint64_t call);
    void execute(std::uint64_t call);
    void answer(std::uint64_t call);

    event_queue& m_queue;
    std::mt19937_64 m_random;
    fake_endpoint_options m_options;
    execution_listener m_onExecution;
    event_sink m_sink;
    // Number of the current agent. Events of an earlier agent's calls are not delivered to a later one.
    std::uint64_t m_agentGeneration = 0;
    std::map<std::uint64_t, running_call> m_calls;
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_boots = 1;
    bool m_isUp = true;
    bool m_dropsNextAnswer = false;
    std::uint32_t m_completedSinceCold = 0;
    instant m_warmCapacityUntil;
    std::uint32_t m_overloads = 0;
};

// Chunks of the only correct answer to a request.
std::vector<std::string> expectedAnswer(const service_request& request);

} // namespace appleramp::tests
