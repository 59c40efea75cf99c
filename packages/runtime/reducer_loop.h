#pragma once

#include "runtime/event_recorder.h"
#include "runtime/process_clock.h"
#include "wire/event_codec.h"

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace appleramp {

// Event loop of a reducer: any thread may post events, and one thread applies them in order and executes the resulting
// effects. If no event arrives before the reducer's next wake-up time, the loop applies a time_passed event.
template <typename Reducer, typename Event, typename Effect>
class reducer_loop {
public:
    using event_body = decltype(Event::body);
    using effect_handler = std::function<void(Effect&&)>;

    reducer_loop(Reducer reducer, effect_handler handler, std::unique_ptr<event_recorder> recorder)
        : m_reducer(std::move(reducer))
        , m_handler(std::move(handler))
        , m_recorder(std::move(recorder))
    {
    }

    void post(event_body body)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_events.push_back(std::move(body));
        }
        m_posted.notify_one();
    }

    // Returns after the effect handler has called stop().
    void run()
    {
        while (!m_stopped) {
            for (auto& body : takeEvents()) {
                // What a reducer begins after it has asked to stop would not be finished.
                if (!m_stopped)
                    apply(std::move(body));
            }
        }
    }

    // To be called by the effect handler only, on the thread of run().
    void stop() { m_stopped = true; }

private:
    std::deque<event_body> takeEvents()
    {
        std::unique_lock lock(m_mutex);
        const auto wakeUp = std::chrono::steady_clock::time_point(m_reducer.nextWakeUp().time_since_epoch());
        m_posted.wait_until(lock, wakeUp, [this] { return !m_events.empty(); });
        if (m_events.empty())
            m_events.emplace_back(time_passed {});
        return std::exchange(m_events, {});
    }

    void apply(event_body&& body)
    {
        const Event event { monotonicNow(), std::move(body) };
        if (m_recorder)
            m_recorder->write(encodeEvent(event));
        for (auto& effect : m_reducer.apply(event))
            m_handler(std::move(effect));
    }

    Reducer m_reducer;
    effect_handler m_handler;
    std::unique_ptr<event_recorder> m_recorder;
    std::mutex m_mutex;
    std::condition_variable m_posted;
    std::deque<event_body> m_events;
    bool m_stopped = false;
};

} // namespace appleramp
