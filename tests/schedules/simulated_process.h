#pragma once

#include "fakes/event_queue.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace appleramp::tests {

// A reducer as a process in virtual time: it can be paused, when events wait as they do in a real process's sockets,
// and killed, when everything that is on its way to it is lost.
template <typename Reducer, typename Event, typename Effect>
class simulated_process : public std::enable_shared_from_this<simulated_process<Reducer, Event, Effect>> {
public:
    using event_body = decltype(Event::body);

    simulated_process(event_queue& queue, Reducer reducer, std::function<void(Effect&&)> handler)
        : m_queue(queue)
        , m_reducer(std::move(reducer))
        , m_handler(std::move(handler))
    {
    }

    void start() { post(time_passed {}); }

    void post(event_body body)
    {
        if (!m_alive)
            return;
        m_held.push_back(std::move(body));
        applyHeld();
    }

    void pause(duration length)
    {
        m_pausedUntil = m_queue.now() + length;
        m_queue.at(m_pausedUntil, [self = this->shared_from_this()] { self->wake(); });
    }

    instant pausedUntil() const { return m_pausedUntil; }

    void kill() { m_alive = false; }
    bool isAlive() const { return m_alive; }
    const Reducer& reducer() const { return m_reducer; }

private:
    void wake()
    {
        if (m_queue.now() >= m_pausedUntil)
            post(time_passed {});
    }

    // An effect may bring the next event at once; it waits until the effects before it are carried out.
    void applyHeld()
    {
        if (m_applying || m_queue.now() < m_pausedUntil)
            return;
        m_applying = true;
        while (m_alive && !m_held.empty()) {
            auto body = std::move(m_held.front());
            m_held.pop_front();
            apply(std::move(body));
        }
        m_applying = false;
    }

    void apply(event_body&& body)
    {
        for (auto& effect : m_reducer.apply(Event { m_queue.now(), std::move(body) })) {
            if (m_alive)
                m_handler(std::move(effect));
        }
        scheduleWakeUp();
    }

    void scheduleWakeUp()
    {
        const auto due = std::max(m_reducer.nextWakeUp(), m_queue.now() + std::chrono::milliseconds(1));
        if (!m_alive || (m_scheduled && *m_scheduled <= due))
            return;
        m_scheduled = due;
        m_queue.at(due, [self = this->shared_from_this(), due] {
            if (self->m_scheduled == due)
                self->m_scheduled.reset();
            self->post(time_passed {});
        });
    }

    event_queue& m_queue;
    Reducer m_reducer;
    std::function<void(Effect&&)> m_handler;
    std::deque<event_body> m_held;
    std::optional<instant> m_scheduled;
    instant m_pausedUntil;
    bool m_applying = false;
    bool m_alive = true;
};

} // namespace appleramp::tests
