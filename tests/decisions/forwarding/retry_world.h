#pragma once

#include "decisions/forwarding/forwarding_reducer.h"
#include "fakes/event_queue.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace appleramp::tests {

struct retry_world_settings {
    std::uint64_t seed = 1;
    std::size_t entries = 35;
    std::size_t endpoints = 72;
    double requestsPerSecond = 250;
    // Fraction of the attempts whose answers are lost.
    double lossFraction = 0.7;
    duration answerTime = std::chrono::milliseconds(50);
};

// Entries with their real reducers before endpoints of one service that lose answers, in virtual time. The world counts the
// attempts that reach endpoints and compares their retries with the users' rule (BUDGET).
class retry_world {
public:
    explicit retry_world(retry_world_settings settings);
    ~retry_world();
    retry_world(const retry_world&) = delete;
    retry_world& operator=(const retry_world&) = delete;

    // Plays the callers' requests until then.
    void runUntil(duration time);
    void at(duration time, std::function<void()> action) { m_events.runAt(instant(time), std::move(action)); }

    // The entry loses its memory.
    void restartEntry(std::size_t entry);
    void restartAllEntries();
    // The endpoints reject every attempt from now on, or no longer.
    void setRejecting(bool rejecting) { m_isRejecting = rejecting; }

    void setRequestRate(double perSecond) { m_settings.requestsPerSecond = perSecond; }

    // Most retries in some window, relative to what the rule allows: above one, the rule is broken.
    double worstWindow() const;
    std::size_t retries() const { return m_retries.size(); }

    // What the rule allows in a window: this fraction of the requests, and some more.
    static constexpr duration window = std::chrono::seconds(10);
    static constexpr double allowedFraction = 0.2;
    static constexpr double allowedMore = 208;

private:
    struct entry_state {
        std::unique_ptr<forwarding_reducer> reducer;
        std::uint64_t life = 0;
    };

    instant now() const { return m_events.now(); }
    double fraction();
    void startEntry(std::size_t entry);
    void tickEntry(std::size_t entry, std::uint64_t life);
    void sendNext();
    void post(std::size_t entry, const forwarding_event& event);
    void carryOut(std::size_t entry, const forwarding_effect& effect);
    void reachEndpoint(std::size_t entry, const send_attempt& attempt);
    // Runs the action after that time if the entry has not restarted meanwhile.
    void later(std::size_t entry, duration wait, std::function<void()> action);
    // Relative to what is allowed in the window that ends then.
    double useOfWindowUntil(instant end) const;

    retry_world_settings m_settings;
    std::mt19937_64 m_random;
    event_queue m_events;
    std::vector<entry_state> m_entries;
    bool m_isRejecting = false;
    request_number m_lastRequest = 0;
    // Attempts of each request, by its number less one.
    std::vector<std::size_t> m_attempts;
    // In the order of time.
    std::vector<instant> m_requests;
    std::vector<instant> m_retries;
};

} // namespace appleramp::tests
