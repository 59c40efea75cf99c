#pragma once

#include "decisions/sharing/demand_meter.h"
#include "decisions/sharing/demand_reports.h"
#include "decisions/sharing/returning_requests.h"
#include "decisions/sharing/service_room.h"
#include "decisions/sharing/waiting_requests.h"
#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace appleramp {

struct room_query {
    instant now;
    request_number request = 0;
    std::uint8_t rank = 0;
    std::uint32_t team = 0;
    std::uint64_t contentHash = 0;
    duration latencyTarget {};
    // Remaining time until the request's deadline.
    duration timeLeft {};
    // Memory that the request takes while it waits.
    std::size_t bytes = 0;
    // In [0, 1).
    double jitter = 0;
};

struct room_admission { };
struct room_wait {
    instant until;
    // Requests whose places it takes.
    std::vector<request_number> displaced;
};
enum class room_refusal_cause {
    // The share of the rank is used up.
    Rank,
    // The share of the team within its rank is used up.
    Team,
    // The request came back before the time that it was told.
    EarlyReturn,
    // Other requests have a better claim to the places in the queue.
    Displaced,
    // It waited in vain.
    WaitedInVain,
};
std::string_view nameOf(room_refusal_cause cause);
struct room_refusal {
    duration retryAfter {};
    room_refusal_cause cause = room_refusal_cause::Rank;
};
using room_decision = std::variant<room_admission, room_wait, room_refusal>;

// Decides over the requests to one service whose capacity requests of several urgency ranks share: who is sent at once, who waits
// at this entry, and who is refused.
//
// Where the service is not near its limit, every request is sent at once. Otherwise the fractions of its room are applied by
// error diffusion, and a request that is not sent waits only if its rank's share is expected to reach it in time.
class room_gate {
public:
    // Counts a new request of a caller, whatever becomes of it.
    void recordArrival(instant now, std::uint8_t rank, std::uint32_t team, std::uint64_t contentHash);
    // Renews the shares; to be called at least when isUpdateDue.
    void update(instant now, const service_load& load, const rank_values& inFlight, std::size_t entryCount);
    bool isUpdateDue(instant now) const { return now - m_updatedAt >= updateInterval; }

    room_decision decide(const room_query& query);
    // The next waiting request that may be sent now.
    std::optional<request_number> takeReady(instant now);
    // The request is over, or was sent. Returns true if it was waiting.
    bool leave(request_number request) { return m_waiting.remove(request); }
    bool isWaiting(request_number request) const { return m_waiting.find(request) != nullptr; }
    // Ends the wait of a request or displaces it.
    room_refusal refuseWaiting(const room_query& query, room_refusal_cause cause);

    bool recordReport(instant now, const demand_report& report, const availability_zone_id& ownZone) { return m_reports.record(now, report, ownZone); }
    // The demand of this entry, and of its zone with those that reported. Without sender, service and sequence.
    demand_report ownReport() const { return m_own.toReport(); }
    demand_report zoneReport(instant now) const;
    bool shouldReport() const { return m_room.utilization() >= reportingUtilization; }

    const service_room& room() const { return m_room; }
    const waiting_requests& waiting() const { return m_waiting; }
    std::size_t returningCount() const { return m_returning.size(); }

    // Load reports come more often, but shares need not follow each of them.
    static constexpr duration updateInterval = std::chrono::milliseconds(25);
    // From this utilization on, entries tell each other their demand.
    static constexpr double reportingUtilization = 0.6;
    // Part of the latency target that a request may spend waiting; the rest covers its transport and prompt.
    static constexpr double waitShareOfTarget = 0.3;
    // No request waits longer while a less urgent one could start before it.
    static constexpr duration maxWait = std::chrono::milliseconds(250);
    static constexpr duration minRetryAfter = std::chrono::milliseconds(200);
    // Part of the caller's remaining time up to which it honours Retry-After.
    static constexpr int retryAfterDivisor = 3;
    // Part of a rank's share to which callers are told to return; the rest is for new requests.
    static constexpr double returningShare = 0.15;
    // Part of a rank's share that goes to waiting requests, where it serves at least one within its wait.
    static constexpr double waitingShare = 0.2;
    // Teams whose credit is kept.
    static constexpr std::size_t maxCredits = 512;

private:
    struct rank_state {
        // Part of a request that the waiting ones of the rank have earned and not used, and since when.
        double waitingCredit = 0;
        instant creditedAt;
        // Until when returns are promised.
        instant nextReturn;
    };

    // Requests per second that the share of the rank allows at this entry.
    double ownRate(std::uint8_t rank) const;
    duration longestWait(const room_query& query) const;
    // Fraction of the requests of the query's team that is sent at once.
    double directFraction(const room_query& query) const;
    // Waiting requests per second that are sent.
    double waitingRate(std::uint8_t rank) const;
    // Credit of the team, which its requests earn and use.
    double& creditOf(const room_query& query);
    bool mayTakeWaiting(instant now, std::uint8_t rank);
    room_decision waitOrRefuse(const room_query& query, bool isReturning);
    room_refusal refuse(const room_query& query, room_refusal_cause cause);

    demand_meter m_meter;
    demand_reports m_reports;
    demand_sum m_own;
    service_room m_room;
    rank_values m_ownRates {};
    std::size_t m_entryCount = 1;
    waiting_requests m_waiting;
    returning_requests m_returning;
    std::array<rank_state, sharedRanks> m_ranks;
    // Parts of requests that the shares of teams have earned and not used.
    std::map<demand_meter::team_key, double> m_credits;
    instant m_updatedAt;
};

} // namespace appleramp
