#pragma once

#include "datagrams/datagram_message.h"
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

struct caller_kind {
    std::uint32_t rank = 0;
    double perSecond = 0;
    duration latencyTarget = std::chrono::milliseconds(500);
    double worth = 1;
    double worthLate = 0.3;
    // Share of each team; one team if empty.
    std::vector<double> teams;
};

struct sharing_world_settings {
    std::uint64_t seed = 1;
    bool sharesRoom = true;
    std::size_t entries = 12;
    std::size_t zones = 1;
    std::size_t engines = 36;
    std::uint32_t slots = 10;
    std::size_t queuePlaces = 20;
    duration slotTime = std::chrono::seconds(2);
    duration promptTime = std::chrono::milliseconds(100);
    // Longest age of a load report when it arrives.
    duration reportDelay = std::chrono::milliseconds(300);
    double datagramLoss = 0;
    duration callerTimeout = std::chrono::seconds(8);
    // Callers that come back at once and repeatedly instead of after the time that they are told.
    double impatientCallers = 0;
    int impatientRetries = 3;
    duration impatientPause = std::chrono::milliseconds(30);
    // Callers that leave if nothing has come after this time.
    double leavingCallers = 0;
    duration leavesAfter = std::chrono::milliseconds(150);
    // All callers use the first entry.
    bool usesOneEntry = false;
    // A caller comes back to the entry that refused it.
    bool returnsToSameEntry = true;
    std::vector<caller_kind> kinds;
};

// What callers that came in a span of time got.
struct caller_results {
    std::size_t callers = 0;
    std::size_t onTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t left = 0;
    double worth = 0;
    double mostWorth = 0;

    double onTimeFraction() const { return callers == 0 ? 1 : static_cast<double>(onTime) / static_cast<double>(callers); }
    double worthFraction() const { return mostWorth <= 0 ? 1 : worth / mostWorth; }
    double servedFraction() const { return callers == 0 ? 1 : static_cast<double>(onTime + late) / static_cast<double>(callers); }
};

// Entries with their real reducers before engines with slots and queues by urgency, in virtual time. Callers of several urgency ranks and teams
// use them; load reports are old when they arrive, and demand reports pass through the real encoding.
class sharing_world {
public:
    explicit sharing_world(sharing_world_settings settings);
    ~sharing_world();
    sharing_world(const sharing_world&) = delete;
    sharing_world& operator=(const sharing_world&) = delete;

    void runUntil(duration time);
    void at(duration time, std::function<void()> action) { m_events.runAt(instant(time), std::move(action)); }

    void setRate(std::size_t kind, double perSecond) { m_settings.kinds[kind].perSecond = perSecond; }
    void setImpatient(double fraction) { m_settings.impatientCallers = fraction; }
    // Engines from that number on end what they run and take nothing more.
    void removeEngines(std::size_t from);
    void restartEntry(std::size_t entry);
    void cutEntry(std::size_t entry, duration length);
    void freezeEntry(std::size_t entry, duration length);
    // All engines reject every request for that long.
    void closeEngines(duration length) { m_closedUntil = m_events.now() + length; }

    // Of callers that came first in the span; of one kind, team, or patience if given.
    caller_results results(duration from, duration until, int kind = -1, int team = -1, int impatient = -1) const;
    // What the capacity could have earned in the span, if the most valuable requests had been served on time.
    double possibleWorth(duration from, duration until) const;
    const forwarding_reducer& reducer(std::size_t entry) const;
    // Over all entries and the whole run.
    std::size_t mostWaiting() const { return m_mostWaiting; }
    std::size_t mostReturning() const { return m_mostReturning; }
    // Requests that wait at entries now.
    std::size_t waitingNow() const;
    // Requests that run and wait at the engines now.
    std::size_t running() const;
    std::size_t queued() const;
    // Longest time for which a more urgent request waited at an entry when a less urgent one was sent from there.
    duration longestOvertaken() const { return m_longestOvertaken; }
    // Requests that were refused as not run and reached an engine.
    std::size_t falseNotRun() const { return m_falseNotRun; }
    // Requests that reached an engine after their callers' time was over.
    std::size_t sentTooLate() const { return m_sentTooLate; }
    // Longest time for which the place of a caller that had left was taken.
    duration longestPlaceOfGone() const { return m_longestPlaceOfGone; }
    std::size_t demandDatagrams(std::size_t entry) const;
    std::size_t demandBytes(std::size_t entry) const;
    std::size_t refusals() const { return m_refusals; }

private:
    struct entry_state;
    struct caller_state;
    struct engine_state;

    instant now() const { return m_events.now(); }
    void schedule(duration delay, std::function<void()> action) { m_events.runAfter(delay, std::move(action)); }
    double fraction();
    void startEntry(std::size_t entry);
    void tickEntry(std::size_t entry, std::uint64_t life);
    void whenAwake(std::size_t entry, std::uint64_t life, const std::function<void()>& action);
    void post(std::size_t entry, const forwarding_event& event);
    void carryOut(std::size_t entry, const forwarding_effect& effect);
    void sendDatagram(std::size_t from, std::size_t to, const datagram_message& message);
    void nextCaller(std::size_t kind);
    void arrive(std::size_t caller);
    void refuse(std::size_t entry, request_number number, const refuse_request& effect);
    void reachEngine(std::size_t entry, const send_attempt& attempt);
    void startRunning(std::size_t engine);
    void leaveEngine(request_number number);
    void sendEvent(std::size_t engine, request_number number);
    void endOnEngine(std::size_t engine, request_number number);
    void reportLoads();
    void checkInvariants(std::size_t entry, request_number sent);
    std::vector<endpoint_record> registry() const;
    routing_configuration configuration() const;

    sharing_world_settings m_settings;
    std::mt19937_64 m_random;
    event_queue m_events;
    std::vector<std::unique_ptr<entry_state>> m_entries;
    std::vector<std::unique_ptr<engine_state>> m_engines;
    std::vector<caller_state> m_callers;
    // Callers by the numbers of their sends.
    std::map<request_number, std::size_t> m_sends;
    request_number m_lastRequest = 0;
    instant m_closedUntil;
    std::size_t m_mostWaiting = 0;
    std::size_t m_mostReturning = 0;
    duration m_longestOvertaken {};
    std::size_t m_falseNotRun = 0;
    std::size_t m_sentTooLate = 0;
    duration m_longestPlaceOfGone {};
    std::size_t m_refusals = 0;
};

} // namespace appleramp::tests
