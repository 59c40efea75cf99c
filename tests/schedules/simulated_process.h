#pragma once

#include "fakes/event_queue.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace appleramp::tests {

// Runs a reducer as a process in virtual time. While it is paused, its events are queued, as in the sockets of a real
// process. Once it is killed, all queued and later events are lost.
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

    // Sets a check that is called after each event that the reducer has handled, also after each of those that were queued
    // during a pause.
    void setAfterEvent(std::function<void()> check) { m_afterEvent = std::move(check); }

    void start() { post(time_passed {}); }

    void post(event_body body)
    {
        if (!m_alive)
            return;
        m_pendingEvents.push_back(std::move(body));
        applyPending();
    }

    void pause(duration length)
    {
        m_pausedUntil = m_queue.now() + length;
        m_queue.runAt(m_pausedUntil, [self = this->shared_from_this()] { self->wake(); });
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

    // An effect may post another event at once. That event is queued until all effects of the current one were
    // executed.
    void applyPending()
    {
        if (m_applying || m_queue.now() < m_pausedUntil)
            return;
        m_applying = true;
        while (m_alive && !m_pendingEvents.empty()) {
            auto body = std::move(m_pendingEvents.front());
            m_pendingEvents.pop_front();
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
        if (m_afterEvent)
            m_afterEvent();
        scheduleWakeUp();
    }

    void scheduleWakeUp()
    {
        const auto due = std::max(m_reducer.nextWakeUp(), m_queue.now() + std::chrono::milliseconds(1));
        if (!m_alive || (m_scheduled && *m_scheduled <= due))
            return;
        m_scheduled = due;
        m_queue.runAt(due, [self = this->shared_from_this(), due] {
            if (self->m_scheduled == due)
                self->m_scheduled.reset();
            self->post(time_passed {});
        });
    }

    event_queue& m_queue;
    Reducer m_reducer;
    std::function<void(Effect&&)> m_handler;
    std::function<void()> m_afterEvent;
    std::deque<event_body> m_pendingEvents;
    std::optional<instant> m_scheduled;
    instant m_pausedUntil;
    bool m_applying = false;
    bool m_alive = true;
};

} // namespace appleramp::tests
