#pragma once

#include "datagrams/datagram_message.h"
#include "decisions/forwarding/forwarding_reducer.h"
#include "fakes/event_queue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace appleramp::tests {

const service_id limitedService("service");
// One route for reading, to that service.
routing_configuration limitedServiceConfiguration();

struct limit_world_settings {
    std::uint64_t seed = 1;
    std::size_t entries = 8;
    std::size_t endpoints = 16;
    // Endpoints that name a limit, from namedFrom until namedUntil.
    std::size_t limited = 1;
    double limit = 1.8;
    duration namedFrom = std::chrono::seconds(6);
    duration namedUntil = std::chrono::seconds(30);
    // Mean time between two requests of callers, at random entries.
    duration requestInterval = std::chrono::milliseconds(12);
    duration callerTimeout = std::chrono::seconds(8);
    duration answerTime = std::chrono::milliseconds(150);
    duration datagramDelay = std::chrono::milliseconds(2);
    // Fraction of the datagrams that are lost.
    double datagramLoss = 0;
    // Fraction of the datagrams that arrive twice, and the longest further delay of any, by which they overtake each other.
    double datagramDuplication = 0;
    duration datagramJitter {};
    // Agents report the limit of their endpoints to all entries.
    bool hasAgents = false;
};

// Entries with their real reducers before endpoints of one service, some of which name a limit of requests, in virtual time.
// The world counts what reaches the endpoints, from which entries.
class limit_world {
public:
    explicit limit_world(limit_world_settings settings);
    ~limit_world();
    limit_world(const limit_world&) = delete;
    limit_world& operator=(const limit_world&) = delete;

    // Plays the callers' requests until then.
    void runUntil(duration time);
    void at(duration time, std::function<void()> action) { m_events.runAt(instant(time), std::move(action)); }

    // The entry loses its memory.
    void restartEntry(std::size_t entry);
    // No datagram passes between the entry and the others for that long.
    void cutEntry(std::size_t entry, duration length);
    // The entry stands still; what reaches it meanwhile is handled when it goes on.
    void freezeEntry(std::size_t entry, duration length);
    // The endpoints name this limit from now on.
    void changeLimit(double limit);

    // Most requests in some window of the users' rule (LIMIT) relative to what it allows: above one, the rule is broken.
    double worstWindow() const;
    // Requests that reached an endpoint in a span of time.
    std::size_t arrivals(std::size_t endpoint, duration from, duration until) const;
    std::size_t refused(duration from, duration until) const;
    std::size_t sent(duration from, duration until) const;

    // The users' rule counts in windows of this length, from contactTime after the first answer with a limit, the requests of
    // entries that were told by an answer of their own that long before.
    static constexpr duration window = std::chrono::seconds(4);
    static constexpr duration contactTime = std::chrono::seconds(3);
    static constexpr duration toldBefore = std::chrono::milliseconds(500);
    // What the rule allows in a window: this much of the limit, and some requests more.
    static constexpr double allowedFactor = 1.5;
    static constexpr double allowedMore = 5;

private:
    struct entry_state;
    struct arrival {
        instant when;
        std::size_t endpoint = 0;
        double limit = 0;
        // The entry had passed on an answer with a limit long enough before.
        bool isCounted = false;
    };
    struct outcome {
        instant when;
        bool isRefused = false;
    };

    instant now() const { return m_events.now(); }
    void schedule(duration delay, std::function<void()> action) { m_events.runAfter(delay, std::move(action)); }
    void startEntry(std::size_t entry);
    void tickEntry(std::size_t entry, std::uint64_t life);
    void sendNext();
    void post(std::size_t entry, const forwarding_event& event);
    // The message passes through the real encoding.
    void deliver(std::size_t from, std::size_t to, const datagram_message& message);
    void onDatagram(std::size_t from, std::size_t to, const std::string& bytes);
    void carryOut(std::size_t entry, const forwarding_effect& effect);
    void arrive(std::size_t entry, request_number number);
    void wake(std::size_t entry, std::uint64_t life, request_number number);
    void answer(std::size_t entry, std::uint64_t life, request_number number, std::size_t endpoint, std::optional<double> limit);
    void reachEndpoint(std::size_t entry, const send_attempt& attempt);
    void reportLoads();
    void shareLimits(std::size_t entry, const share_endpoint_limits& effect);
    void tell(std::size_t entry, std::size_t other, const datagram_message& message);
    void tellOthers(std::size_t entry, const datagram_message& message);
    bool isNaming(std::size_t endpoint) const;
    std::vector<endpoint_record> registry() const;
    double fraction();

    limit_world_settings m_settings;
    std::mt19937_64 m_random;
    event_queue m_events;
    std::vector<std::unique_ptr<entry_state>> m_entries;
    request_number m_lastRequest = 0;
    std::vector<arrival> m_arrivals;
    std::map<request_number, outcome> m_outcomes;
};

} // namespace appleramp::tests
