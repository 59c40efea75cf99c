#pragma once

#include "decisions/forwarding/forwarding_reducer.h"
#include "fakes/event_queue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace appleramp::tests {

struct work_world_settings {
    std::uint64_t seed = 1;
    std::size_t entries = 71;
    // Engines of each zone.
    std::vector<std::size_t> engines { 24, 24, 24 };
    std::uint32_t slots = 10;
    // All engines advance together, by the slowest of them.
    bool isGroup = true;
    bool placeByWork = true;
    std::size_t workSampleSize = fleet_settings {}.workSampleSize;
    // Demand relative to what the slots can take.
    double utilization = 0.7;
    double promptSpread = 1.3;
    // Factor by which callers' hints are off; zero if they send none.
    double hintFactor = 1;
    duration reportInterval = std::chrono::milliseconds(120);
    duration reportDelay = std::chrono::milliseconds(30);
};

// What became of one request.
struct request_outcome {
    instant arrivedAt;
    std::size_t zone = 0;
    std::size_t entry = 0;
    std::uint32_t promptTokens = 0;
    std::optional<duration> firstEvent;
    bool isServed = false;
    bool isRefused = false;
    duration longestPause {};
    // From the arrival to the slot in which it is served.
    duration slotWait {};
    std::size_t sends = 0;
    std::size_t sendsElsewhere = 0;
};

// Entries with their real reducers before engines that read prompts and generate in passes, in virtual time.
class work_world {
public:
    struct engine_state;

    explicit work_world(work_world_settings settings);
    ~work_world();
    work_world(const work_world&) = delete;
    work_world& operator=(const work_world&) = delete;

    void runUntil(duration time);
    void at(duration time, std::function<void()> action) { m_events.runAt(instant(time), std::move(action)); }

    engine_state& engine(std::size_t number) { return *m_engines[number]; }
    std::size_t engineCount() const { return m_engines.size(); }
    std::size_t entryZone(std::size_t entry) const { return entry % m_settings.engines.size(); }
    // The engine stops; the registry lists it no more.
    void removeEngine(std::size_t number);
    // Restarts the process of an entry, which forgets everything.
    void startEntry(std::size_t entry);
    // Demand of the zone as a multiple of its mean, as a function of time.
    void setDemand(std::function<double(std::size_t zone, duration time)> demand) { m_demand = std::move(demand); }
    void setCut(std::size_t entry, std::optional<std::size_t> zone) { m_cuts[entry] = zone; }
    void loseReports(std::optional<std::size_t> zone) { m_silentZone = zone; }

    const std::map<std::uint64_t, request_outcome>& outcomes() const { return m_outcomes; }
    // Slots of the zone's engines that are taken, sampled each 100 ms.
    const std::vector<std::vector<double>>& utilization() const { return m_utilization; }
    // Longest time for which a zone refused requests while another had a tenth of its slots free.
    duration longestNeedlessRefusal() const;
    // Sends from one zone to another as a fraction of all, in a span of time.
    double fractionElsewhere(duration from, duration until) const;
    const std::vector<std::string>& log() const { return m_log; }
    const forwarding_reducer& entry(std::size_t number) const { return *m_reducers[number]; }

    static constexpr duration latencyTarget = std::chrono::milliseconds(400);
    static constexpr duration pauseTarget = std::chrono::milliseconds(120);
    static constexpr std::uint32_t events = 23;
    static engine_speed speed();

private:
    struct attempt;

    instant now() const { return m_events.now(); }
    double fraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    endpoint_record record(std::size_t engine) const;
    void subscribe(std::size_t entry);
    void arrive(std::size_t zone);
    void post(std::size_t entry, const forwarding_event& event);
    void carryOut(std::size_t entry, const forwarding_effect& effect);
    void send(std::size_t entry, const send_attempt& effect);
    void end(const std::shared_ptr<attempt>& ended, attempt_ending ending);
    void reportSilence(const std::shared_ptr<attempt>& sent);
    void reach(const std::shared_ptr<attempt>& arriving);
    void beginPass(const std::vector<std::size_t>& group);
    void endPass(const std::vector<std::size_t>& group);
    duration passTime(engine_state& engine);
    void report(std::size_t engine);
    void tick();

    work_world_settings m_settings;
    std::mt19937_64 m_random;
    event_queue m_events;
    std::vector<std::unique_ptr<engine_state>> m_engines;
    std::vector<std::unique_ptr<forwarding_reducer>> m_reducers;
    std::vector<std::uint64_t> m_lives;
    std::vector<std::set<std::string>> m_subsets;
    std::map<std::size_t, std::optional<std::size_t>> m_cuts;
    std::optional<std::size_t> m_silentZone;
    std::function<double(std::size_t, duration)> m_demand;
    double m_ratePerZone = 0;
    std::uint64_t m_lastRequest = 0;
    std::map<std::uint64_t, request_outcome> m_outcomes;
    // The latest attempt of each request.
    std::map<std::uint64_t, std::shared_ptr<attempt>> m_attempts;
    std::vector<std::vector<double>> m_utilization;
    // By zone and 100 ms: requests refused.
    std::vector<std::vector<int>> m_refusals;
    std::vector<std::string> m_log;
};

struct work_world::engine_state {
    std::size_t number = 0;
    std::size_t zone = 0;
    bool isAlive = true;
    double slowdown = 1;
    // Fraction of the requests that it resets, while it reports itself as sound.
    double failing = 0;
    // The engine reports its slowdown.
    bool reportsSlowdown = true;
    std::vector<std::shared_ptr<attempt>> running;
    std::vector<std::shared_ptr<attempt>> waiting;
    std::size_t arrivals = 0;
};

// The smallest time within which the fraction of the times lies.
duration quantile(std::vector<duration> times, double fraction);

} // namespace appleramp::tests
