#pragma once

#include "datagrams/datagram_message.h"
#include "decisions/fleet/fault_plan.h"
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

struct fleet_world_settings {
    std::uint64_t seed = 1;
    std::size_t entries = 6;
    std::size_t engines = 9;
    std::size_t zones = 3;
    // The configuration says that the engines share experts, so that they serve as one group.
    bool hasExperts = false;
    bool agentsReportDeaths = true;
    duration requestInterval = std::chrono::milliseconds(20);
};

// Entries of the direct fleet with their real reducers and the real encoding of their datagrams and rows, before plain engines and a
// store, in virtual time. It plays faults and checks after each event what the fleet promises.
class fleet_world {
public:
    explicit fleet_world(fleet_world_settings settings);
    ~fleet_world();
    fleet_world(const fleet_world&) = delete;
    fleet_world& operator=(const fleet_world&) = delete;

    void play(const std::vector<planned_fault>& faults);
    // Called with a line for each decision that an entry logs, and for each death of an engine by a request.
    void traceTo(std::function<void(const std::string& line)> receiver) { m_trace = std::move(receiver); }
    void runUntil(duration time);

    // The first promise that was broken, and how; empty if none was.
    const std::string& broken() const { return m_broken; }
    // Fraction of the requests sent in a span of time that an engine answered.
    double served(duration from, duration until) const;

    // The users' bounds.
    static constexpr duration contactTime = std::chrono::seconds(3);
    static constexpr duration drainTime = std::chrono::seconds(2);
    static constexpr duration evacuationTime = std::chrono::seconds(5);
    static constexpr duration settleTime = std::chrono::milliseconds(500);
    static constexpr std::size_t mostInPause = 2;
    static constexpr double coldPerSecond = 28;
    static constexpr double mostCold = coldPerSecond * 1.5 + 5;
    static constexpr duration limitWindow = std::chrono::seconds(4);
    static constexpr double limitFactor = 1.5;
    static constexpr double limitMore = 5;
    // Deaths after which a request, or a part of prompts, that crashes engines is known, and requests that may reach engines later.
    static constexpr std::size_t deathsOfRequest = 3;
    static constexpr std::size_t deathsOfPart = 5;
    static constexpr std::size_t mostLateSends = 3;
    static constexpr duration repeatWindow = std::chrono::seconds(10);
    static constexpr double repeatFraction = 0.2;
    static constexpr double repeatsMore = 92;

private:
    struct entry_state;
    struct engine_state;
    struct request_record;
    struct crash_cause;

    instant now() const { return m_events.now(); }
    void schedule(duration delay, std::function<void()> action) { m_events.runAfter(delay, std::move(action)); }
    // Runs the action at the entry if it still lives, once it does not stand still.
    void scheduleAt(std::size_t entry, duration delay, std::function<void()> action);
    void begin(const planned_fault& fault);
    void beginAtEngine(const planned_fault& fault);
    void takeZoneOut(const availability_zone_id& zone, duration length);
    void startEntry(std::size_t entry);
    void disturb(std::size_t entry, duration length);
    void tickEntry(std::size_t entry);
    void sendNext();
    void sendRequest(std::uint64_t content, std::vector<std::uint64_t> parts, std::optional<std::size_t> cause);
    void sendCrashing(std::size_t cause, instant until);
    void post(std::size_t entry, const forwarding_event& event);
    void postToAll(duration delay, const std::function<forwarding_event()>& make);
    void carryOut(std::size_t entry, const forwarding_effect& effect);
    void reachEngine(std::size_t entry, const send_attempt& attempt);
    void run(std::size_t entry, std::size_t engine, request_number number);
    void end(std::size_t entry, request_number number, attempt_ending ending, std::optional<duration> retryAfter = {}, bool isRefused = false);
    void answer(std::size_t entry, std::size_t engine, std::uint64_t start, request_number number);
    void crashEngine(std::size_t engine, duration length);
    void reportDeath(const engine_state& engine);
    // The engine begins the request, and dies of it.
    void beginCrashing(std::size_t engine, std::size_t cause);
    // The engine announces in its answers that it leaves. Some do not tell the registry.
    void stopEngine(std::size_t engine, bool isListed);
    void startEngine(std::size_t engine, duration coldFor);
    void checkArrival(std::size_t entry, std::size_t engine);
    void checkCold(const engine_state& engine);
    void checkLimit(const engine_state& engine);
    void checkCrashing(std::size_t entry, std::size_t cause);
    // Counts an arrival beyond the first of its request.
    void checkRepeats();
    void noteAnswer(std::size_t entry, const engine_state& engine);
    void noteRefusal(request_number number, const refuse_request& refusal);
    void trace(const std::string& who, const std::string& what) const;
    void breakPromise(const std::string& promise, const std::string& how);
    void tell(std::size_t entry, std::size_t other, const datagram_message& message);
    void tellSome(std::size_t entry, const datagram_message& message, record_recipients recipients);
    void onDatagram(std::size_t from, std::size_t to, const std::string& bytes);
    // Runs the action when the store answers, at an entry that lives until then.
    void callStore(std::size_t entry, std::function<void()> action);
    void writeSuspect(std::size_t entry, const crash_record& record);
    void removeSuspect(std::size_t entry, const suspect_key& key);
    void readSuspects(std::size_t entry);
    // Tells all entries of a change of the store, as far as it is reachable.
    void followStore(const std::function<forwarding_event()>& make);
    bool isInTouch(const entry_state& entry) const;
    endpoint_record recordOf(std::size_t engine) const;
    double fraction();
    duration randomUpTo(duration most);

    fleet_world_settings m_settings;
    std::mt19937_64 m_random;
    event_queue m_events;
    std::vector<std::unique_ptr<entry_state>> m_entries;
    std::vector<std::unique_ptr<engine_state>> m_engines;
    std::map<request_number, request_record> m_requests;
    request_number m_lastRequest = 0;
    std::uint64_t m_lastStart = 0;
    double m_datagramLoss = 0;
    double m_answerLoss = 0;
    std::map<availability_zone_id, instant> m_zonesOut;
    std::vector<crash_cause> m_causes;
    // Arrivals beyond the first of each request.
    std::vector<instant> m_repeats;
    instant m_storeBackAt;
    // The rows of suspects, as they are encoded.
    std::map<std::string, std::string> m_rows;
    std::string m_broken;
    std::function<void(const std::string&)> m_trace;
};

} // namespace appleramp::tests
