#pragma once

#include "decisions/limits/request_turns.h"
#include "decisions/limits/turn_owners.h"
#include "model/endpoint_limit.h"
#include "model/identifiers.h"
#include "model/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace appleramp {

// Limits that endpoints name for the requests of all entries together, and this entry's part of them.
//
// What the endpoints say last holds, as far as the order is certain; otherwise the lower limit. A limit lasts until the
// endpoint answers a later request without it, or is gone: the requests that are allowed find out. After its end, the rate
// grows step by step, so that the entries do not all come back at once.
class endpoint_limits {
public:
    enum class told_outcome {
        Known,
        // This entry learned something.
        News,
        // The entry that told it does not know what this one knows.
        Outdated,
    };
    // A limit as operators see it.
    struct limit_view {
        endpoint_limit_record record;
        duration knownFor {};
        // Requests of this entry under the limit.
        std::uint64_t sends = 0;
        // How often this entry passed the endpoint over, as it had no turn.
        std::uint64_t passedOver = 0;
        // When this entry may send next; nothing if that is not soon.
        std::optional<instant> nextSend;
    };

    void setEntries(std::string_view self, std::span<const std::string> names) { m_owners.setEntries(self, names); }
    std::size_t entryCount() const { return m_owners.entryCount(); }

    // An answer to a request that was sent at that time states something of the endpoint's limit. Returns true if the other
    // entries should be told.
    bool recordStatement(instant now, const endpoint_id& endpoint, std::uint64_t startedAtMs, instant sentAt, const limit_statement& statement);
    // Another entry tells of the endpoint's limit.
    told_outcome recordTold(instant now, const endpoint_limit_record& record);
    // The endpoint is gone, or was started again.
    void forget(const endpoint_id& endpoint) { m_limits.erase(endpoint); }

    bool isLimited(instant now, const endpoint_id& endpoint) const;
    // The rate of all entries together that is in force; none if the endpoint is not limited.
    std::optional<double> currentRate(instant now, const endpoint_id& endpoint) const;
    // True if this entry may send to the endpoint now.
    bool allowsSend(instant now, const endpoint_id& endpoint);
    void recordSend(instant now, const endpoint_id& endpoint);
    // When this entry may send to the endpoint, until that time; a time for each request. Empty if it is not limited.
    std::vector<instant> sendTimes(instant now, const endpoint_id& endpoint, instant until);

    // A request of another entry in a turn that begins until that time, to ask for; chosen by the random fraction among the next
    // few. Nothing if there is none.
    struct borrowable_request {
        permit_question question;
        std::string owner;
    };
    std::optional<borrowable_request> borrowableRequest(instant now, const endpoint_id& endpoint, instant until, double randomFraction);
    // Gives a request of this entry to the one that asks, if it is still unused. Returns true if it did.
    bool lend(instant now, const permit_question& question);
    // Another entry gave a request of its own to this one.
    void borrow(instant now, const permit_question& question);

    std::optional<endpoint_limit_record> record(instant now, const endpoint_id& endpoint) const;
    // What other entries need to know.
    std::vector<endpoint_limit_record> records(instant now) const;
    std::vector<limit_view> views(instant now);
    std::size_t limitedCount(instant now) const;

    // An endpoint that names a lower limit, or zero, gets a request of one entry that often, which shows whether the limit
    // still holds.
    static constexpr double leastRate = 0.1;
    // After the end of a limit, its rate doubles with each step.
    static constexpr duration recoveryStep = std::chrono::seconds(1);
    static constexpr unsigned recoverySteps = 3;
    static constexpr double leastRecoveryRate = 1.0;
    // Statements that close together are not ordered, as the way to an entry takes different times.
    static constexpr duration orderUncertainty = std::chrono::milliseconds(100);
    // Other entries are told of the end of a limit for this long.
    static constexpr duration endToldFor = std::chrono::seconds(5);
    // How far a view looks ahead for the next turn of this entry.
    static constexpr duration viewHorizon = std::chrono::minutes(1);
    // Among this many of the next turns one is chosen to ask for, so that entries do not all ask the same owner.
    static constexpr std::size_t borrowableTurns = 4;

private:
    struct known_limit {
        std::uint64_t startedAtMs = 0;
        double requestsPerSecond = 0;
        bool isOver = false;
        instant statedAt;
        instant turnsFrom;
        instant knownSince;
        std::uint64_t sends = 0;
        std::uint64_t passedOver = 0;
        // The turn in which this entry sent last, and how often.
        std::uint64_t lastTurn = 0;
        std::uint64_t sentInTurn = 0;
        // Requests of turns that other entries gave to this one, or this one to others; negative for the latter.
        std::map<std::uint64_t, std::int64_t> exchanged;
        // This entry's requests in the turns from plannedFrom on, as far as they were needed.
        std::uint64_t plannedFrom = 0;
        std::vector<std::uint64_t> plan;
        std::uint64_t planGeneration = 0;
    };
    // The turns in force at some time. The number of the recovery step is part of a turn's number.
    struct current_turns {
        request_turns turns;
        std::uint64_t step = 0;
        instant end = instant::max();
    };

    static std::optional<current_turns> turnsAt(const known_limit& limit, instant now);
    static std::uint64_t turnNumber(const current_turns& current, std::uint64_t turn);
    void adopt(instant now, known_limit& limit, double requestsPerSecond, bool isOver, instant statedAt, instant turnsFrom);
    std::uint64_t ownRequests(known_limit& limit, const endpoint_id& endpoint, const current_turns& current, std::uint64_t turn);
    // With those that entries gave each other.
    std::uint64_t availableRequests(known_limit& limit, const endpoint_id& endpoint, const current_turns& current, std::uint64_t turn);
    static void forgetPastTurns(known_limit& limit, std::uint64_t number);
    known_limit* limitOf(const permit_question& question);
    std::uint64_t sentIn(const known_limit& limit, std::uint64_t number) const { return limit.lastTurn == number ? limit.sentInTurn : 0; }

    turn_owners m_owners;
    std::map<endpoint_id, known_limit> m_limits;
};

} // namespace appleramp
