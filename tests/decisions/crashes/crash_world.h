#pragma once

#include "decisions/forwarding/forwarding_reducer.h"
#include "fakes/event_queue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace appleramp::tests {

// How long the parts of the simulated platform take. The defaults are those of the users' small deployments.
struct crash_world_settings {
    std::uint64_t seed = 1;
    std::size_t entries = 8;
    std::size_t engines = 16;
    // Longest time from a request's arrival at an engine to its first event.
    duration maxBeginDelay = std::chrono::milliseconds(300);
    duration eventInterval = std::chrono::milliseconds(60);
    int events = 12;
    // The ranks of a dead engine's group stall, then cut off their streams; the group serves again after groupOutage.
    duration stall = std::chrono::milliseconds(1500);
    duration groupOutage = std::chrono::milliseconds(4000);
    // A crashed engine starts again at its address under another id.
    duration engineRestart = std::chrono::milliseconds(3200);
    // The registry lists a new engine, and no longer a silent one, that much later.
    duration registryDelay = std::chrono::milliseconds(400);
    duration registryExpiry = std::chrono::milliseconds(3900);
    duration datagramDelay = std::chrono::milliseconds(2);
    // Fraction of the datagrams to entries that are lost.
    double datagramLoss = 0;
    bool agentsReportDeaths = true;
    // The configuration says that the engines of the service share experts, so that they serve as one group.
    bool hasExperts = false;
    // Time of a write to the store, and of its way to the followers of the table.
    duration storeDelay = std::chrono::milliseconds(5);
    duration feedDelay = std::chrono::milliseconds(450);
};

struct simulated_request {
    std::uint64_t content = 0;
    // Parts of its prompt that other requests may share.
    std::vector<std::uint64_t> parts;
    bool crashesEngines = false;
};

// Entries with their real reducers before one group of simulated engines, in virtual time. Crashing requests kill the engine
// that begins to write an answer to them; the world counts how many engines die and which sends come too late.
class crash_world {
public:
    explicit crash_world(crash_world_settings settings);
    ~crash_world();
    crash_world(const crash_world&) = delete;
    crash_world& operator=(const crash_world&) = delete;

    void runUntil(duration time);
    void at(duration time, std::function<void()> action) { m_events.runAt(instant(time), std::move(action)); }
    // Sends requests at random entries, evenly spaced; `make` gives the content of each.
    void sendEvery(duration interval, duration from, duration until, const std::function<simulated_request()>& make);
    void send(std::size_t entry, const simulated_request& request);

    // Entries that lose their memory, or their datagrams to and from the other entries, for a while.
    void restartEntry(std::size_t entry);
    // All entries lose their memory at the same moment.
    void restartAllEntries();
    void cutEntry(std::size_t entry, duration length);
    // Engines that die together of another cause, such as a loss of power.
    void killEngines(std::size_t count);
    // No entry reaches the store until then.
    void stopStore(duration length) { m_storeBackAt = now() + length; }

    std::size_t engineDeaths() const { return m_deaths; }
    // Crashing requests that entries in touch sent to engines later than the contact time after the given one of the deaths that
    // such requests caused (1 is the first).
    std::size_t lateSends(std::size_t death) const;
    // Fractions of the sound requests sent in a span of time whose answers began at their first attempt.
    double soundBegun(duration from, duration until) const;
    // Requests that were refused since their suspects were convicted, though they crash nothing.
    std::size_t soundConvicted() const { return m_soundConvicted; }

    static constexpr duration contactTime = std::chrono::seconds(3);

private:
    struct entry_state;
    struct engine_state;
    struct run;
    struct crashing_send {
        instant when;
        bool entryInTouch = false;
    };
    struct sound_outcome {
        instant sentAt;
        bool begunAtFirstAttempt = false;
    };

    instant now() const { return m_events.now(); }
    void schedule(duration delay, std::function<void()> action) { m_events.runAfter(delay, std::move(action)); }
    void startEntry(std::size_t entry);
    void stopEntry(std::size_t entry);
    void tickEntry(std::size_t entry, std::uint64_t life);
    void post(std::size_t entry, const forwarding_event& event);
    void carryOut(std::size_t entry, const forwarding_effect& effect);
    void reachEngine(std::size_t entry, const send_attempt& attempt);
    void beginRun(std::uint64_t number);
    void writeEvent(std::uint64_t number);
    void killEngine(std::size_t engine);
    void stallGroup(std::size_t dead);
    void restartEngine(std::size_t engine);
    void endRun(std::uint64_t number, attempt_ending ending);
    void reportDeath(const std::string& address, std::uint64_t startedAtMs);
    void shareRecords(std::size_t entry, const share_crash_records& effect);
    void writeRecord(std::size_t entry, const crash_record& record);
    void removeRecord(const suspect_key& key);
    void readRecords(std::size_t entry);
    void tell(std::size_t entry, std::size_t other, const forwarding_event& event);
    void tellOthers(std::size_t entry, const forwarding_event& event);
    bool isInTouch(std::size_t entry) const;
    bool arePeersCut(std::size_t from, std::size_t to) const;
    bool groupServes() const { return now() >= m_groupOpensAt; }
    std::vector<endpoint_record> registry() const;
    double fraction();

    crash_world_settings m_settings;
    std::mt19937_64 m_random;
    event_queue m_events;
    std::vector<std::unique_ptr<entry_state>> m_entries;
    std::vector<std::unique_ptr<engine_state>> m_engines;
    std::map<std::uint64_t, run> m_runs;
    std::uint64_t m_lastRun = 0;
    std::uint64_t m_lastEngineId = 0;
    request_number m_lastRequest = 0;
    instant m_groupOpensAt;
    instant m_storeBackAt;
    std::size_t m_soundConvicted = 0;
    std::map<suspect_key, crash_record> m_stored;
    std::size_t m_deaths = 0;
    // Deaths of engines that began a crashing request.
    std::vector<instant> m_crashes;
    std::vector<crashing_send> m_crashingSends;
    std::map<request_number, sound_outcome> m_sound;
};

} // namespace appleramp::tests
