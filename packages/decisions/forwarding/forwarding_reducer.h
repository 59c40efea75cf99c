#pragma once

#include "decisions/crashes/crash_ledger.h"
#include "decisions/crashes/death_detector.h"
#include "decisions/forwarding/admission_gate.h"
#include "decisions/forwarding/brief_outage.h"
#include "decisions/forwarding/configuration_trust.h"
#include "decisions/forwarding/endpoint_fleet.h"
#include "decisions/forwarding/entry_peers.h"
#include "decisions/forwarding/forwarding_effects.h"
#include "decisions/forwarding/forwarding_events.h"
#include "decisions/forwarding/freshness_lease.h"
#include "decisions/forwarding/recent_maximum.h"
#include "decisions/forwarding/route_table.h"
#include "decisions/forwarding/shared_retry_budget.h"
#include "decisions/forwarding/starting_requests.h"
#include "decisions/forwarding/store_outage.h"
#include "decisions/forwarding/stream_pace.h"
#include "decisions/limits/permit_queue.h"
#include "decisions/sharing/room_gate.h"
#include "decisions/workload/answer_length_estimator.h"
#include "decisions/workload/forecast_error.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace appleramp {

struct forwarding_settings {
    freshness_settings freshness;
    shared_retry_budget_settings retryBudget;
    fleet_settings fleet;
    peer_settings peers;
    availability_zone_id zone;
    // This entry, as the store lists it.
    std::string instance;
    // Longest pause between two events of a stream that is still on time, for routes that set no pause target.
    duration defaultPauseTarget = std::chrono::milliseconds(200);
    // Longest time for which a request that arrives while the process starts waits until it is ready; zero: it is refused.
    duration longestStartWait {};
    // Requests of several urgency ranks share a service's capacity by room_gate.
    bool sharesRoom = false;
    // Spread the Retry-After of callers that are refused during an outage of the store over the time in which it may be back.
    bool spreadOutageRetries = false;
    std::uint64_t seed = 1;
    // As placement_section::byWork.
    bool placeByWork = false;
};

// Forwarding logic of an entry that sends requests to endpoints directly: matches routes, authenticates callers, admits or
// refuses requests, chooses their endpoints, and decides on retries and failure answers.
//
// A pure state machine: each event changes the state and yields effects, without a clock, I/O or threads. The bytes of
// answers do not pass through it.
class forwarding_reducer {
public:
    forwarding_reducer(instant startedAt, forwarding_settings settings);

    forwarding_effects handle(const forwarding_event& event);

    // True if the configuration is fresh enough to accept API keys, at least one endpoint is known, and the convicted suspects
    // were read.
    bool isReady(instant now) const;
    configuration_version configurationVersion() const { return m_routes ? m_routes->version() : 0; }
    std::optional<duration> configurationAge(instant now) const { return m_freshness.age(now); }
    const route_table* routes() const { return m_routes.get(); }
    const entry_peers& peers() const { return m_peers; }
    const endpoint_fleet& fleet() const { return m_fleet; }
    std::size_t requestsInFlight() const { return m_requests.size() + m_startingRequests.size(); }
    const crash_ledger& crashes() const { return m_crashes; }
    const retry_totals& retryTotals() const { return m_retryBudget.totals(); }
    // What an entry that has just started is told of suspects.
    std::vector<crash_record> recordsForStartingEntry(instant now) const;
    // What it is told of endpoints' limits.
    std::vector<endpoint_limit_record> limitsForStartingEntry(instant now) const;
    std::vector<endpoint_limits::limit_view> limitViews(instant now) { return m_fleet.limitViews(now); }
    // By service: how predicted times to the first event compare with actual ones.
    const std::map<availability_zone_id, std::uint64_t>& sendsByZone() const { return m_sendsByZone; }
    const std::map<service_id, forecast_error>& forecasts() const { return m_forecasts; }
    std::size_t requestsAwaitingPermit() const { return m_permitQueue.size(); }
    // The services whose capacity several urgency ranks share.
    const std::map<service_id, room_gate>& rooms() const { return m_rooms; }
    const std::map<room_refusal_cause, std::uint64_t>& roomRefusals() const { return m_roomRefusals; }

private:
    struct request_state {
        caller_request caller;
        // Keeps matchedRoute valid after a newer configuration has been adopted.
        std::shared_ptr<const route_table> routes;
        const route* matchedRoute = nullptr;
        service_id service;
        team_id team;
        std::uint32_t urgencyRank = 0;
        instant arrivedAt;
        instant deadline;
        std::uint32_t attempts = 0;
        std::vector<endpoint_id> triedEndpoints;
        endpoint_id currentEndpoint;
        instant sentAt;
        // Until when the request may wait for its service to recover; not set before it first waits.
        instant outageWaitEnd;
        // As outageWaitEnd, while all endpoints of the service are at their limits.
        instant permitWaitEnd;
        bool waitsForPermit = false;
        // The wait of this request while the process starts was logged.
        bool waitsForOpenEndpoint = false;
        // The request's rank has room for it at its service.
        bool hasRoom = false;
        // Questions to other entries for a request of theirs.
        std::uint32_t permitQuestions = 0;
        // The one that has not been answered.
        std::optional<permit_question> openPermitQuestion;
        // As the two above, while the shares of this entry are used up.
        instant shareWaitEnd;
        std::uint32_t shareQuestions = 0;
        instant shareAskedAt;
        bool waitsForShare = false;
        // An earlier attempt may have been executed.
        bool mayHaveRun = false;
        // Where the request ran before its current attempt, if that replaces a running one.
        endpoint_id replacedEndpoint;
        // The silence of the current attempt counts against its endpoint already.
        bool isSilenceRecorded = false;
        // The latest attempt brought a whole answer that says that the request failed.
        bool hasFailureAnswer = false;
        // What endpoints may die of when they begin to answer.
        std::vector<suspect_key> suspects;
        // Pieces of an answer that the current attempt has brought.
        std::uint32_t answerPieces = 0;
        // Set if the current attempt was placed by its work.
        std::optional<request_work> work;
        duration expectedFirstEvent {};
        duration firstEventTime {};
        bool isLate = false;
    };

    void on(const request_arrived& event);
    void on(const attempt_ended& event);
    void on(const attempt_silent& event);
    void on(const attempt_succeeded& event);
    void on(const stream_advanced& event);
    void on(const service_wait_ended& event);
    void on(const caller_disconnected& event);
    void on(const deadline_passed& event);
    void on(const configuration_read& event);
    void on(const out_of_service_zones_changed& event);
    void on(const endpoint_listed& event);
    void on(const endpoint_unlisted& event);
    void on(const registry_read& event);
    void on(const registry_access_changed& event);
    void on(const registry_restored& event);
    void on(const endpoint_leaving_announced& event);
    void on(const endpoint_limit_stated& event);
    void on(const endpoint_limits_told& event);
    void on(const permit_asked& event);
    void on(const permit_answered& event);
    void on(const demand_reported& event);
    void on(const endpoint_load_received& event);
    void on(const endpoint_death_reported& event);
    void on(const endpoint_probed& event);
    void on(const load_subset_changed& event);
    void on(const entry_presence_received& event);
    void on(const crash_records_received& event);
    void on(const crash_table_read& event);
    void on(const entry_count_read& event);
    void on(const timer_ticked& event);
    void on(const stop_announced& event);
    void on(const stop_reached& event);

    // Admits a request and places it, or refuses it.
    void accept(instant now, request_number number, request_state request);
    // Requests that arrived while the process starts: schedules the first try, tries again, and forgets one whose caller left.
    void waitForStart(instant now, request_number number, const std::string& sendId);
    void retryStartingRequest(instant now, request_number number);
    bool forgetStartingRequest(instant now, request_number number);
    // If the process has just started and all endpoints open to it only later, schedules another placement and returns true.
    bool waitForOpenEndpoint(instant now, request_number number, request_state& request);
    // Matches the route, authenticates the caller, and sets service and deadline; refuses the request if that fails.
    bool admit(instant now, request_number number, request_state& request);
    // False if neither the request's deadline comes before the end of the stopping process, nor its service seems to answer in that time,
    // by its recent answers and those that are due.
    bool canEndBeforeStop(instant now, const request_state& request);
    void recordAnswerTime(instant now, const request_state& request);
    // Chooses an endpoint and sends the request there, or defers or refuses it.
    void place(instant now, request_number number, request_state& request);
    // If the service rejects every request but may recover soon, schedules another placement and returns true.
    bool deferDuringOutage(instant now, request_number number, request_state& request);
    // If the limits of the service's endpoints allow the request soon, schedules another placement and returns true.
    bool waitForPermit(instant now, request_number number, request_state& request, const placement_query& query);
    // Asks another entry for a request that it may not need. Returns false if there is none to ask for.
    bool askForPermit(instant now, request_number number, request_state& request, const placement_query& query);
    // If only the shares of this entry keep the request from an endpoint, waits for one or asks another entry, and returns true.
    bool waitForShare(instant now, request_number number, request_state& request, const placement_query& query);
    // If an endpoint that has just started lacks its first request and only this entry's share keeps the request from it, asks another
    // entry for one and returns true.
    bool borrowFirstRequest(instant now, request_number number, request_state& request, const placement_query& query);
    bool askForShare(instant now, request_number number, request_state& request, std::optional<endpoint_limits::borrowable_request> found);
    void waitUntil(instant now, request_number number, request_state& request, instant until);
    void lendShare(const permit_asked& event);
    void onShareAnswered(const permit_answered& event, request_state& request);
    // Updates the restrictions of endpoints, and logs which began and ended.
    void logRestrictions(instant now);
    placement_query queryFor(instant now, const service_id& service) const;
    // The request no longer waits for a limit or a share.
    void leavePermitQueue(request_number number, request_state& request);
    // Requests of the service that wait for its limits and are served before this one.
    std::size_t requestsAhead(request_number number, const request_state& request) const;
    // The request is over.
    void forget(request_number number);
    // Creates the rooms of the services to which routes of several urgency ranks lead.
    void findSharedServices();
    // Nothing if the service's capacity is not shared by urgency rank.
    room_gate* sharedRoom(const service_id& service);
    void updateRoom(instant now, const service_id& service, room_gate& room);
    void recordRoomArrival(instant now, const request_state& request);
    // True if the request may be sent now; otherwise it waits, or was refused.
    bool passRoom(instant now, request_number number, request_state& request, room_gate& room);
    room_query roomQuery(instant now, request_number number, const request_state& request);
    void refuseForRoom(request_number number, const request_state& request, const room_gate& room, const room_refusal& refusal);
    void refuseDisplaced(instant now, room_gate& room, const std::vector<request_number>& displaced);
    void sendRoomWaiting(instant now);
    // Tells other entries the demand for services that are near their limits.
    void shareDemand(instant now);
    void logRooms(instant now);
    // Retry-After for a new stream of a service whose streams are all stalled.
    std::optional<duration> stallRetryAfter(instant now, const request_state& request);
    // Retry-After for a new stream that is refused because its service's streams are stalled or already too slow.
    std::optional<duration> overloadRetryAfter(instant now, const request_state& request);
    // Adds the request's size and the figures of its service to the query, if it is to be placed by its work.
    void describeWork(const request_state& request, placement_query& query) const;
    answer_length_query answerLengthQuery(const request_state& request) const;
    void recordPlacedWork(request_number number, request_state& request, const placement& chosen, log_decision& line);
    void logWorkNews();
    void recordOutcome(instant now, const request_state& request, attempt_ending ending);
    void recordFirstEvent(instant now, request_number number, request_state& request);
    void recordAnsweredWork(instant now, const request_state& request, log_decision& line);
    void send(instant now, request_number number, request_state& request, const placement& chosen);
    // Returns true if the request may be sent again, and takes the retry from the budget. The line says what the budget was.
    bool tryTakeRetry(instant now, request_state& request, const attempt_ended& event, log_decision& line);
    bool takeRetry(instant now, const service_id& service, log_decision& line);
    void finishFailedRequest(request_number number, const request_state& request, const attempt_ended& event);
    void refuse(request_number number, const request_state& request, refusal_reason reason, std::optional<duration> retryAfter);
    // Ends a request that can't be sent now.
    void refusePlacement(request_number number, const request_state& request, refusal_reason reason, std::optional<duration> retryAfter);
    // With less time left, a request is not sent, since no endpoint is expected to answer in time.
    static constexpr duration minTimeLeft = std::chrono::milliseconds(20);
    placement_query queryFor(instant now, request_number number, const request_state& request);
    bool mayBeReplaced(instant now, const request_state& request);
    // Another endpoint that can take a running request at once, and the retry for it; nothing if there is no such endpoint or no retry.
    std::optional<placement> takeReplacement(instant now, request_number number, const request_state& request, log_decision& line);
    void replaceAttempt(instant now, request_number number, request_state& request, const placement& other, log_decision line);
    // The attempt may have run, so that what the request waited before it is no part of its waits from now on.
    static void recordPossibleRun(request_state& request);
    // Does not count the latest attempt, which did not run. If it was to replace a running one, that one's endpoint may be chosen again.
    static void uncountAttempt(request_state& request);
    void recordKeptSilent(instant now, const request_state& request, log_decision line);
    void moveStreamsFromSlowEndpoint(instant now, const endpoint_load& slow);
    void recordEnding(instant now, const request_state& request, const attempt_ended& event);
    // The endpoint asked for no requests for that long.
    void pauseEndpoint(instant now, const request_state& request, duration time);
    void recordLeaving(instant now, const endpoint_id& endpoint, std::string_view source);
    // An answer to a request that was sent at that time, or the report of an agent, states the endpoint's limit. Returns true if
    // that is a change.
    bool recordLimit(instant now, const endpoint_id& endpoint, instant sentAt, const limit_statement& statement, const std::string& sendId);
    void recordReportedLimit(instant now, const endpoint_load& load);
    void logLimit(instant now, const endpoint_id& endpoint, std::string_view source, const std::string& sendId);
    void shareLimits(instant now);
    void shareChangedLimits(instant now);
    void recordTime(instant now);
    void recordSuspiciousEnding(instant now, const request_state& request, const attempt_ended& event);
    void recordCancelledAttempt(instant now, const request_state& request);
    // Keeps an attempt that ended without an answer as one that the death of its endpoint may explain, for that long.
    void recordBrokenAttempt(instant now, const request_state& request, duration explainedFor);
    // The endpoint has died: attempts there that end without an answer, before or after this, are suspected.
    void recordDeath(instant now, const endpoint_id& endpoint, std::string_view source);
    // The endpoint is gone, by a crash or as planned: attempts that broke there before are suspected.
    void recordGone(instant now, const endpoint_id& endpoint, std::string_view source);
    void recordBreakdown(instant now, const broken_attempt& attempt, std::string_view source);
    // Counts a piece of the answer; the second one shows that the request does not crash its endpoint.
    void recordAnswerPiece(instant now, request_state& request);
    void recordSound(instant now, const request_state& request);
    struct suspicion {
        refusal_reason reason;
        // Nothing if the refusal is final.
        std::optional<duration> retryAfter;
    };
    // Why the request must not be sent now, by what is known of its suspects.
    std::optional<suspicion> suspicionAgainst(instant now, request_number number, const request_state& request);
    // The suspect may not even run alone: one more death would convict it, but stop a group of endpoints once more.
    bool endangersGroup(const request_state& request, const suspect_key& key) const;
    bool isAlone(request_number number, const suspect_key& key) const;
    // Requests with the suspect whose endpoints have not begun to answer.
    std::vector<request_number> requestsAwaitingAnswer(const suspect_key& key) const;
    // Ends the requests in flight that hold a suspect convicted meanwhile, before their endpoints begin to answer.
    void refuseNewlyConvicted(instant now);
    void shareCrashRecords(instant now);
    void shareChangedRecords(instant now);
    // Writes the suspects that entries must remember though all of them restart, and removes the rows of the others.
    void storeSuspects(instant now);
    bool shouldStore(const crash_record& record) const;
    bool areConvictionsKnown(instant now) const;
    // Confirms the configuration in force by the last read, if that read is to be trusted.
    void confirmConfiguration(instant now);
    double randomFraction();
    duration shortRetryAfter();
    duration longRetryAfter();
    // Until the store confirms the configuration, or `usual` where the store is available.
    duration confirmationRetryAfter(instant now, const caller_request& caller, duration usual);
    duration retryAfterPause(instant now, const service_id& service);

    forwarding_settings m_settings;
    std::shared_ptr<const route_table> m_routes;
    freshness_lease m_freshness;
    store_outage m_storeOutage;
    configuration_trust m_trust;
    // When the last read that has confirmed nothing yet was sent.
    std::optional<instant> m_unconfirmedReadAt;
    shared_retry_budget m_retryBudget;
    death_detector m_deaths;
    crash_ledger m_crashes;
    instant m_startedAt;
    bool m_crashTableRead = false;
    instant m_crashRecordsSharedAt;
    instant m_changedRecordsSharedAt;
    struct stored_suspect {
        std::size_t deaths = 0;
        bool isConvicted = false;
    };
    // Suspects that the store's table holds.
    std::map<suspect_key, stored_suspect> m_storedSuspects;
    // Suspects that the table may lack, and when this entry writes them if it does.
    std::map<suspect_key, instant> m_unstoredSuspects;
    // Rows of suspects that have expired, and when this entry removes them if no other has.
    std::map<suspect_key, instant> m_expiredRows;
    endpoint_fleet m_fleet;
    entry_peers m_peers;
    // When to tell the other entries of an endpoint's limit, and how often still.
    struct limit_telling {
        instant due;
        unsigned left = 0;
    };
    std::map<endpoint_id, limit_telling> m_limitTellings;
    instant m_limitsSharedAt;
    std::set<endpoint_id> m_unreadableLimits;
    permit_queue m_permitQueue;
    // The other entries need their requests themselves: none is asked until then.
    std::map<service_id, instant> m_noPermitsUntil;
    // Requests that wait for a share.
    std::map<service_id, std::size_t> m_shareWaiters;
    std::map<service_id, room_gate> m_rooms;
    // Shortest pause targets of the streams of these services.
    std::map<service_id, duration> m_roomPauseTargets;
    std::map<room_refusal_cause, std::uint64_t> m_roomRefusals;
    instant m_demandSharedAt;
    instant m_roomsLoggedAt;
    std::map<service_id, stream_pace> m_streamPaces;
    std::map<service_id, brief_outage> m_outages;
    answer_length_estimator m_answerLengths;
    std::map<service_id, forecast_error> m_forecasts;
    // Sends that were placed by their work.
    std::map<availability_zone_id, std::uint64_t> m_sendsByZone;
    std::map<request_number, request_state> m_requests;
    starting_requests m_startingRequests;
    // When the process ends, once it was asked to.
    std::optional<instant> m_stopsAt;
    std::map<service_id, recent_maximum> m_answerTimes;
    std::mt19937_64 m_random;
    // Time of the event that is being handled.
    instant m_now;
    // Latest time of an event; some events carry the earlier time of what they tell.
    instant m_latestTime;
    // Messages that are handled until that time may have waited for that long, since this process stood still.
    duration m_newsDelay {};
    instant m_newsDelayedUntil;
    forwarding_effects m_effects;
};

} // namespace appleramp
