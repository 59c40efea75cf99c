#pragma once

#include "decisions/forwarding/forwarding_reducer.h"
#include "fakes/event_queue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace appleramp::tests {

struct pace_world_settings {
    std::uint64_t seed = 1;
    std::size_t entries = 71;
    std::size_t endpoints = 7;
    std::uint32_t slots = 6;
    std::uint32_t queuePlaces = 24;
    // Engines with agents: streams, reports, and subsets of 20 where there are more than 32.
    bool isGroup = false;
    duration answerTime = std::chrono::milliseconds(60);
    double requestsPerSecond = 28.7;
    double coldRate = 26;
    bool isPaced = true;
    // Reports are lost.
    bool hasNoReports = false;
    // Entries below this number can't hear each other.
    std::size_t deaf = 0;
};

// Entries with their real reducers before endpoints with slots and queues that stop, start, turn slow or are cut off, in virtual
// time. Endpoints of even thirds are in the zones a, b and c.
class pace_world {
public:
    explicit pace_world(pace_world_settings settings);
    ~pace_world();
    pace_world(const pace_world&) = delete;
    pace_world& operator=(const pace_world&) = delete;

    void runUntil(duration time);
    void at(duration time, std::function<void()> action) { m_events.runAt(instant(time), std::move(action)); }

    // It refuses connections from now on and is unlisted.
    void stopEndpoint(std::size_t endpoint);
    // It is listed again under a new id; entries learn it within 0.1 s.
    void startEndpoint(std::size_t endpoint, duration coldFor = std::chrono::seconds(1));
    // From now on it takes this many times as long.
    void setSlowness(std::size_t endpoint, double slowness);
    // It refuses connections, or accepts them again, without any news.
    void setReachable(std::size_t endpoint, bool isReachable);
    void setZonesOut(const std::set<availability_zone_id>& zones);
    void restartEntry(std::size_t entry);
    void setRequestsPerSecond(double rate);

    // Most requests that an endpoint got in some one-second window from then on.
    std::size_t worstSecond(duration from = {}) const;
    // Time from then to the endpoint's next request.
    duration firstRequestAfter(std::size_t endpoint, duration from) const;
    // Mean requests that ran at the endpoint.
    double busy(std::size_t endpoint, duration from, duration until) const;
    std::size_t arrivals(std::size_t endpoint, duration from, duration until) const;
    // Most requests that waited at the endpoint, and those that it rejected.
    std::size_t longestQueue(std::size_t endpoint) const;
    std::size_t rejected(std::size_t endpoint) const;
    // Requests that were refused, of those that arrived in that time.
    double refusedFraction(duration from, duration until) const;
    std::size_t datagrams() const { return m_datagrams; }

private:
    struct entry_state;
    struct endpoint_state;
    struct outcome {
        instant when;
        bool isRefused = false;
    };

    instant now() const { return m_events.now(); }
    void schedule(duration delay, std::function<void()> action) { m_events.runAfter(delay, std::move(action)); }
    double fraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    endpoint_record recordOf(std::size_t endpoint, duration coldFor) const;
    void startEntry(std::size_t entry);
    void tickEntry(std::size_t entry, std::uint64_t life);
    void sendNext();
    void reportLoads();
    void post(std::size_t entry, const forwarding_event& event);
    void carryOut(std::size_t entry, const forwarding_effect& effect);
    void tell(std::size_t entry, std::size_t other, std::function<void()> action);
    void reach(std::size_t entry, const send_attempt& attempt);
    void run(std::size_t endpoint, std::size_t entry, std::uint64_t life, request_number number);
    void finish(std::size_t endpoint, std::uint64_t endpointLife);

    pace_world_settings m_settings;
    std::mt19937_64 m_random;
    event_queue m_events;
    std::vector<std::unique_ptr<entry_state>> m_entries;
    std::vector<std::unique_ptr<endpoint_state>> m_endpoints;
    std::map<request_number, outcome> m_outcomes;
    request_number m_lastRequest = 0;
    std::size_t m_datagrams = 0;
};

} // namespace appleramp::tests
