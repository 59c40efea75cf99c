#pragma once

#include "decisions/forwarding/attempt_ending.h"
#include "decisions/forwarding/departed_endpoints.h"
#include "decisions/limits/endpoint_limits.h"
#include "decisions/pace/endpoint_pace.h"
#include "decisions/pace/endpoint_restriction.h"
#include "decisions/pace/entry_shares.h"
#include "decisions/pace/share_account.h"
#include "decisions/sharing/service_room.h"
#include "decisions/workload/arrival_rate.h"
#include "decisions/workload/outlier_detector.h"
#include "decisions/workload/placed_work.h"
#include "decisions/workload/unread_prompts.h"
#include "decisions/workload/work_model.h"
#include "decisions/workload/work_news.h"
#include "model/endpoint_news.h"
#include "model/routing.h"
#include "model/time.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace appleramp {

struct fleet_settings {
    // Limit of the requests per second that all entries together send to a cold endpoint: the rate that it bears, times
    // coldRateFactor, plus coldRateAllowance.
    double coldRateFactor = 1.5;
    double coldRateAllowance = 5;
    // Fraction of that limit that is used. At a half, the limit holds also while entries know two different lists of the entries,
    // and while entries have restarted and do not know what they have sent in the last second.
    double usableColdFraction = 0.5;
    // Endpoints that one placement compares, sampled at random. If every entry compared all endpoints, by load reports of
    // the same age, all would choose the same one.
    std::size_t sampleSize = 6;
    // As sampleSize, for requests that are placed by their work.
    std::size_t workSampleSize = 8;
    // Endpoints whose records lapsed while the registry was unreachable are removed only this long after it is back.
    duration lapseGracePeriod = std::chrono::milliseconds(1900);
    // Endpoints that started or recovered get as much as they can take, by how they answer.
    bool isPaced = false;
};

struct placement_query {
    instant now;
    service_id service;
    availability_zone_id zone;
    // Entries that share the rate limit of a cold endpoint.
    std::size_t entryCount = 1;
    std::span<const endpoint_id> excludedEndpoints;
    // The rate that a cold endpoint of this service bears; absent if it is not limited.
    std::optional<double> coldRequestsPerSecond;
    // False if other requests go first to endpoints that name a limit.
    bool allowsLimited = true;
    // In [0, 1): selects the random sample of endpoints, and so breaks ties.
    double randomFraction = 0;
    // Published figures of the service by which the request is placed; none to place it by the number of requests.
    const engine_speed* engine = nullptr;
    request_size size;
    duration latencyTarget {};
    duration pauseTarget {};
    // Measured time between two events of the service's streams; zero if not known.
    duration measuredPause {};
    bool isRepeatable = true;
    // The request failed elsewhere before.
    bool isRetry = false;
    // Factor by which first events came later than predicted lately.
    double forecastCorrection = 1;
};

struct placement {
    endpoint_id endpoint;
    std::string address;
    std::uint32_t slots = 1;
    // Estimate of the requests running and waiting there.
    double load = 0;
    // Age of the load report, even if it is too old to be used; negative if there is none.
    duration reportAge {};
    // As far as this entry knows, the first request since the endpoint started or recovered.
    bool isFirstRequest = false;
    availability_zone_id zone;
    // Set if the request is placed by its work.
    std::optional<request_work> work;
    work_forecast forecast;
};

// Why no endpoint was found.
enum class placement_failure {
    NoEndpoint,
    // All endpoints are leaving or in zones that are out of service.
    AllOutOfService,
    // Endpoints are in service, but in backoff, at their cold rate limit, or excluded.
    TemporarilyUnavailable,
};

// Tracks the endpoints of all services with their load and health, as this entry sees them, and chooses among them.
class endpoint_fleet {
public:
    explicit endpoint_fleet(fleet_settings settings);

    void addOrUpdate(instant now, const endpoint_record& record);
    // The registry no longer lists the endpoint. If the registry is or was just unreachable, it is kept for a grace period.
    void remove(instant now, const endpoint_id& endpoint);
    // Applies a complete read of the registry; endpoints that it does not list are removed.
    void replaceAll(instant now, std::span<const endpoint_record> records);
    void onRegistryLost(instant now);
    void onRegistryRegained(instant now);
    void setZonesOutOfService(instant now, std::set<availability_zone_id> zones);
    bool isZoneOutOfService(const availability_zone_id& zone) const { return m_zonesOutOfService.contains(zone); }
    // Removes and returns the lapsed endpoints whose grace period is over.
    std::vector<endpoint_id> removeLapsed(instant now);

    // The store that holds the registry came back from an older copy.
    void onRegistryRestored(instant now);

    // The endpoint announced that it leaves. Returns true if this incarnation had not announced it before.
    bool recordLeaving(instant now, const endpoint_id& endpoint);
    // The endpoint asked for no requests until then.
    void pause(const endpoint_id& endpoint, instant until);
    // When the first endpoint of the service resumes; nothing unless all that are in service are paused.
    std::optional<instant> allPausedUntil(instant now, const service_id& service) const;
    std::size_t pausedCount(instant now) const;

    // The names of all entries, which share the limits of endpoints.
    void setEntries(std::string_view self, std::span<const std::string> names)
    {
        m_limits.setEntries(self, names);
        m_shares.setEntries(self, names);
    }
    // An answer to a request that was sent at that time states something of the endpoint's limit. Returns true if the other
    // entries should be told.
    bool recordLimit(instant now, const endpoint_id& endpoint, instant sentAt, const limit_statement& statement);
    // Another entry tells of a limit. It is ignored if that incarnation of the endpoint is not known.
    endpoint_limits::told_outcome recordToldLimit(instant now, const endpoint_limit_record& record);
    const endpoint_limits& limits() const { return m_limits; }
    std::vector<endpoint_limits::limit_view> limitViews(instant now) { return m_limits.views(now); }
    // If all endpoints that the query may choose name limits: when they allow a request of this entry after so many others,
    // at the latest at that time.
    std::optional<instant> limitOpensAt(const placement_query& query, std::size_t requestsAhead, instant until);
    bool areAllLimited(const placement_query& query) const;
    // A request of another entry to ask for, at one of the limited endpoints that the query may choose.
    std::optional<endpoint_limits::borrowable_request> borrowableRequest(const placement_query& query, instant until, double randomFraction);
    // As in endpoint_limits.
    bool lendRequest(instant now, const permit_question& question) { return m_limits.lend(now, question); }
    void borrowRequest(instant now, const permit_question& question) { m_limits.borrow(now, question); }
    // A request of this entry for the service arrived.
    void recordDemand(instant now, const service_id& service);
    // The endpoint is left out until then, as it does worse than its peers.
    void markOutlier(const endpoint_id& endpoint, instant until);
    // Lets time pass for the endpoints that started or recovered. Returns the restrictions that began or ended since the last call.
    std::vector<restriction_change> updateRestrictions(instant now);
    // The restrictions in force at the last update.
    std::vector<restriction_view> restrictions() const;
    struct pace_totals {
        // Endpoints that started or recovered, those of them that reached 0.8 of their usual rate, and the time that these took.
        std::uint64_t starts = 0;
        std::uint64_t reached = 0;
        duration time {};
    };
    const pace_totals& paceTotals() const { return m_paceTotals; }
    // When this entry's share next allows a request to an endpoint of the query that is only closed to it by its share.
    std::optional<instant> shareOpensAt(const placement_query& query);
    // The best of these endpoints, and another entry to ask for a request to it.
    std::optional<endpoint_limits::borrowable_request> borrowableShare(const placement_query& query, double randomFraction);
    // The same for an endpoint that has just started or recovered and has had no request yet, as far as this entry knows.
    std::optional<endpoint_limits::borrowable_request> firstRequestToBorrow(const placement_query& query, double randomFraction);
    // Gives another entry a request of this one's share. The query is for the endpoint's service.
    bool lendShare(const placement_query& query, const permit_question& question);
    void borrowShare(const permit_question& question, instant askedAt);
    // The owner of the share has used it.
    void recordShareRefused(const permit_question& question);
    // Empty if the endpoint is not known.
    service_id serviceOf(const endpoint_id& endpoint) const;

    // Stores a load report for the endpoint that was started last at its address.
    void recordLoad(instant now, const endpoint_load& load);

    // Position of this entry among all, as a fraction in [0, 1), while their names are unknown.
    void setEntryPosition(double position) { m_shares.setPosition(position); }
    // Sets the addresses of the endpoints that report their load, and of those whose reports come to this entry. Endpoints
    // that report, but not here, are used only if none of the others is usable.
    void setSubset(std::set<std::string> reporting, std::set<std::string> subscribed);

    std::optional<placement> choose(const placement_query& query);
    placement_failure failureReason(instant now, const service_id& service) const;
    void recordSend(instant now, const endpoint_id& endpoint);
    // The expected work of this entry's requests in flight, which the caller keeps up to date.
    placed_work& work() { return m_work; }
    // How an attempt went that was placed by its work.
    void recordOutcome(instant now, const endpoint_id& endpoint, attempt_outcome outcome);
    // Endpoints of all services that are out, or on probation, because they failed more often than their peers.
    std::size_t outlierCount() const;
    // What has changed in the placement by work since the last call.
    std::vector<work_news> takeWorkNews() { return std::exchange(m_workNews, {}); }
    // An attempt is over, with a whole answer or without one.
    void recordAnswer(instant now, const endpoint_id& endpoint, duration answerTime);
    // The first event of a stream has come.
    void recordFirstEvent(instant now, const endpoint_id& endpoint, duration time);
    void recordEnding(instant now, const endpoint_id& endpoint, attempt_ending ending);
    // An attempt goes on although its endpoint has been silent for longer than it may be.
    void recordSilence(instant now, const endpoint_id& endpoint);
    // An attempt was cancelled because the caller left or its stream moves to another endpoint.
    void recordCancellation(const endpoint_id& endpoint);

    // Moving average of the service's answer times; zero while none is known.
    duration meanAnswerTime(const service_id& service) const;
    // True if another endpoint of the service that is in service and not in backoff reports that it is not slow.
    bool hasOtherFastEndpoint(instant now, const service_id& service, const endpoint_id& endpoint) const;
    // Requests running and waiting, relative to the slots, over the endpoints with a fresh report; zero if there is none.
    double slotUtilization(instant now, const service_id& service) const;
    // Slots of the service's endpoints in service and what their reports say of them; requests at those that do not report are
    // taken to be as many.
    service_load loadOf(instant now, const service_id& service) const;
    // Requests that this entry has in flight at the service's endpoints.
    std::size_t inFlight(const service_id& service) const;
    bool contains(const endpoint_id& endpoint) const { return m_endpoints.contains(endpoint); }
    std::size_t size() const { return m_endpoints.size(); }
    // The endpoint that was started last at the address.
    std::optional<endpoint_id> latestAtAddress(std::string_view address) const;
    // Empty if the endpoint is not known.
    std::string addressOf(const endpoint_id& endpoint) const;
    // As in the endpoint's record; zero if it is not known.
    std::uint64_t startedAtMs(const endpoint_id& endpoint) const;
    // The endpoint with that address and start time.
    std::optional<endpoint_id> atAddress(std::string_view address, std::uint64_t startedAtMs) const;

private:
    // Where this entry learns the load of an endpoint.
    enum class load_source {
        // From its own requests only: the endpoint has no agent.
        OwnRequests,
        Subscription,
        // The endpoint reports to other entries.
        None,
    };
    struct endpoint_state {
        endpoint_record record;
        load_source source = load_source::OwnRequests;
        instant recordReceivedAt;
        std::optional<instant> lapsedAt;
        std::uint32_t inFlight = 0;
        // What this entry used of its share of the requests that the endpoint gets in a second.
        share_account shares;
        endpoint_pace pace;
        // The rate of a fully recovered endpoint, as last used; zero if it is not known yet.
        double usualRate = 0;
        // The endpoint recovers at that time, at the end of a pause or a backoff.
        std::optional<instant> recoversAt;
        bool wasLimited = false;
        instant outlierUntil;
        std::optional<endpoint_restriction> restriction;
        // Where the shares of the endpoint begin in the ring of entries.
        double ringStart = 0;
        instant avoidUntil;
        // The endpoint asked for a pause until then.
        instant pausedUntil;
        std::uint32_t refusedConnections = 0;
        // Moving average of the attempts that failed, 0 to 1, decayed since failureRateUpdatedAt.
        double failureRate = 0;
        instant failureRateUpdatedAt;
        // Moving average of the answer times.
        double meanAnswerSeconds = 0;
        instant lastAnswerAt;
        std::optional<endpoint_load> report;
        instant reportedAt;
        unread_prompts unread;
        std::uint32_t sentSinceReport = 0;
    };
    struct service_state {
        double meanAnswerSeconds = 0;
        double failures = 0;
        // Moving averages of the times to the first events of streams, and of the slowdown factors in reports.
        double meanFirstEventSeconds = 0;
        double meanSlowdown = 0;
        // The latest request of this entry.
        std::optional<instant> lastDemand;
        // Rate at which an engine reads prompts; zero until a request was placed by its work.
        double readTokensPerSecond = 0;
        // Of this entry's requests that were placed by their work.
        arrival_rate arrivals;
        zone_spill spill;
        outlier_detector outliers;
        instant zonesComparedAt;
        // Endpoints that requests may choose, counted at intervals.
        std::size_t endpoints = 0;
        instant countedAt;
    };

    endpoint_state* find(const endpoint_id& endpoint);
    void erase(const endpoint_id& endpoint);
    // True if another endpoint started later at the same address: this one is gone, though the registry still lists it.
    bool isReplaced(const endpoint_state& state) const;
    // Listed as ready, not known to leave, and in a zone that is in service.
    bool isInService(const endpoint_state& state, instant now) const;
    // The query may choose the endpoint, now or later.
    bool isEligible(const endpoint_state& state, const placement_query& query) const;
    // Whether the endpoint takes a request of this entry now: it is not in backoff, asked for no pause, and neither the share of
    // this entry nor a limit that the endpoint names is used up.
    send_permission permissionFor(endpoint_state& state, const placement_query& query);
    bool isWithinNamedLimit(const endpoint_state& state, const placement_query& query);
    // Requests that all entries together may send the endpoint in any second; nothing if they are not limited.
    std::optional<std::uint32_t> fleetRequestsPerSecond(endpoint_state& state, const placement_query& query);
    // Requests per second of all entries that a cold endpoint of the service bears; nothing if that is not limited.
    std::optional<double> coldRequestsPerSecond(const endpoint_state& state, const placement_query& query) const;
    // The endpoint started or recovered.
    void beginPace(endpoint_state& state, instant now);
    void updatePace(endpoint_state& state, instant now);
    void recordReportForPace(endpoint_state& state, instant now, const endpoint_load& load);
    duration usualBeginTime(const service_id& service) const;
    instant resumesAt(const endpoint_state& state) const { return std::max({ state.avoidUntil, state.pausedUntil, state.outlierUntil }); }
    std::optional<endpoint_restriction> restrictionOf(const endpoint_state& state, instant now) const;
    // The endpoint takes requests, but this entry's share of them is used up or empty.
    bool isOutsideShare(endpoint_state& state, const placement_query& query);
    // Asks one of the entries that have a share of so many requests.
    std::optional<endpoint_limits::borrowable_request> shareToBorrow(
        const endpoint_state& state, const placement_query& query, std::uint32_t requests, double randomFraction) const;
    // The endpoint started or recovered just now, is no slower than others, and has had no request yet, as far as this entry knows.
    bool awaitsFirstRequest(const endpoint_state& state, instant now) const;
    // Takes changes of the service's endpoints into account.
    void updateRingStarts(const service_id& service);
    load_source loadSourceOf(const std::string& address) const;
    std::vector<endpoint_state*> candidates(const placement_query& query, bool onlySubset);
    std::vector<endpoint_state*> sampleCandidates(const placement_query& query);
    // Mean load of the service's endpoints that report it.
    double meanReportedLoad(const service_id& service, instant now) const;
    double estimatedLoad(const endpoint_state& state, instant now, std::size_t entryCount) const;
    double cost(const endpoint_state& state, const placement_query& query) const;
    struct work_option {
        endpoint_state* state = nullptr;
        request_work work;
        work_forecast forecast;
        // Seconds.
        double cost = 0;
        // The endpoint reports enough memory for the request.
        bool hasMemory = true;
    };
    std::optional<placement> chooseByWork(const placement_query& query);
    // Keeps the endpoints of the own zone, and of the one to which the request may go; all if none of these take requests.
    void keepZones(std::vector<endpoint_state*>& found, const placement_query& query);
    void compareZones(const std::vector<endpoint_state*>& found, const placement_query& query);
    // Expected times of a usual request relative to the targets, whichever is closer to being missed.
    double pressure(endpoint_state& state, const placement_query& query) const;
    // Chooses among the options by their cost, and by what other entries that read the same reports are likely to choose.
    const work_option& draw(const std::vector<work_option>& options, const placement_query& query);
    work_option evaluate(endpoint_state& state, const placement_query& query) const;
    engine_load engineLoad(const endpoint_state& state, const placement_query& query, const endpoint_work& own) const;
    // The requests that this entry sent fit into the endpoint's memory together with this one.
    bool fitsOwnShare(const endpoint_state& state, const placement_query& query) const;
    // The memory that the endpoint reports as free, as far as it is this entry's, suffices.
    bool fitsReportedMemory(const endpoint_state& state, const endpoint_work& own, const request_work& work, instant now) const;
    // Time for the prompts that the endpoint's report shows as not yet read.
    duration reportedPromptTime(const endpoint_state& state, const placement_query& query, const engine_load& load) const;
    double failurePenaltySeconds(const endpoint_state& state, instant now) const;
    // The query's request could not reach an endpoint of the zone.
    bool wasUnreachable(const availability_zone_id& zone, const placement_query& query) const;
    // Removes outliers, unless nothing else is left.
    void keepSound(std::vector<endpoint_state*>& found, const placement_query& query);
    double slowdown(const endpoint_state& state, instant now) const;
    double currentFailureRate(const endpoint_state& state, instant now) const;
    void recordOutcome(endpoint_state& state, instant now, double failure);
    bool hasFreshReport(const endpoint_state& state, instant now) const;

    fleet_settings m_settings;
    std::map<endpoint_id, endpoint_state> m_endpoints;
    std::map<std::string, std::set<endpoint_id>, std::less<>> m_byAddress;
    std::map<service_id, service_state> m_services;
    std::set<availability_zone_id> m_zonesOutOfService;
    std::set<std::string> m_reporting;
    std::set<std::string> m_subscribed;
    departed_endpoints m_departed;
    endpoint_limits m_limits;
    entry_shares m_shares;
    // When the first endpoint was listed: those that are listed by then have not just started.
    std::optional<instant> m_firstListedAt;
    instant m_restrictionsUpdatedAt;
    pace_totals m_paceTotals;
    // Services whose addresses have changed since their last placement.
    std::set<service_id> m_changedServices;
    placed_work m_work;
    std::vector<work_news> m_workNews;
    bool m_registryLost = false;
    std::optional<instant> m_registryRegainedAt;
};

} // namespace appleramp
