#include "decisions/forwarding/endpoint_fleet.h"

#include "decisions/membership/rendezvous.h"
#include "model/seconds.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

// The part of the fleet that decides whether this entry may send an endpoint a request now, and if not, when and why.

namespace appleramp {

namespace {

// Backoff after a failed connection; doubles each time.
constexpr duration initialConnectBackoff = std::chrono::milliseconds(250);
constexpr duration maxConnectBackoff = std::chrono::seconds(2);
// Backoff after the endpoint rejected a request.
constexpr duration rejectionBackoff = std::chrono::milliseconds(120);
// Backoff after another endpoint answered at the address, until the registry lists the change.
constexpr duration wrongEndpointBackoff = std::chrono::seconds(2);
// Services with at most this many addresses spread the entries' shares evenly over them. With more, each entry has shares of some
// by chance, and a change of the addresses must not move the shares of the others.
constexpr std::size_t maxEvenlySpread = 32;
// Usual requests per second of an endpoint without a cold rate: what its slots serve, with a margin, and at least minUsualRate.
constexpr double capacityMargin = 2;
constexpr double minUsualRate = 16;
constexpr double minAnswerSeconds = 0.001;
// A request that waits for another one's answer looks again after this time.
constexpr duration unansweredCheckInterval = std::chrono::milliseconds(50);
// Restrictions are updated this often, less often in large fleets.
constexpr duration updateInterval = std::chrono::milliseconds(25);
constexpr duration longUpdateInterval = std::chrono::milliseconds(250);
constexpr std::size_t manyEndpoints = 256;

} // namespace

send_permission endpoint_fleet::permissionFor(endpoint_state& state, const placement_query& query)
{
    if (query.now < resumesAt(state))
        return { false, resumesAt(state) };
    if (const auto requests = fleetRequestsPerSecond(state, query)) {
        const std::uint32_t share = m_shares.share(*requests, query.entryCount, state.ringStart);
        const bool isRamping = state.pace.isRamping();
        if (!state.shares.allows(query.now, share)) {
            const auto opensAt = state.shares.opensAt(query.now, share);
            return { false, opensAt || !isRamping ? opensAt : query.now + endpoint_pace::stepLength };
        }
        // While its rate grows, an endpoint gets the next request of this entry after it has begun to answer one.
        if (isRamping && state.pace.awaited() >= std::max(share, 1U) && !state.shares.hasLoan(query.now))
            return { false, query.now + unansweredCheckInterval };
    }
    return { isWithinNamedLimit(state, query), std::nullopt };
}

std::optional<double> endpoint_fleet::coldRequestsPerSecond(const endpoint_state& state, const placement_query& query) const
{
    // Any endpoint may have turned cold unnoticed, so the limit of cold ones holds for all.
    if (!query.coldRequestsPerSecond)
        return std::nullopt;
    const bool isCold = query.now < state.recordReceivedAt + state.record.coldFor;
    const double usable = m_settings.usableColdFraction * (*query.coldRequestsPerSecond * m_settings.coldRateFactor + m_settings.coldRateAllowance);
    return std::max(1.0, isCold ? std::min(usable, *query.coldRequestsPerSecond) : usable);
}

std::optional<std::uint32_t> endpoint_fleet::fleetRequestsPerSecond(endpoint_state& state, const placement_query& query)
{
    auto rate = coldRequestsPerSecond(state, query);
    if (m_settings.isPaced) {
        const double answerTime = std::max(seconds(meanAnswerTime(query.service)), minAnswerSeconds);
        state.usualRate = rate.value_or(std::max(minUsualRate, capacityMargin * state.record.slots / answerTime));
        updatePace(state, query.now);
        if (state.pace.isRamping())
            rate = std::min(state.pace.rate(), state.usualRate);
    }
    return rate ? std::optional(static_cast<std::uint32_t>(*rate)) : std::nullopt;
}

void endpoint_fleet::markOutlier(const endpoint_id& endpoint, instant until)
{
    if (endpoint_state* const state = find(endpoint)) {
        state->outlierUntil = until;
        state->recoversAt = until;
    }
}

std::optional<endpoint_restriction> endpoint_fleet::restrictionOf(const endpoint_state& state, instant now) const
{
    const auto closed = [&](restriction_reason reason, std::optional<instant> until) { return endpoint_restriction { reason, now, until, 0 }; };
    if (m_zonesOutOfService.contains(state.record.zone) && !state.record.leaving)
        return closed(restriction_reason::ZoneOut, {});
    if (!isInService(state, now))
        return closed(restriction_reason::Leaving, {});
    if (now < state.pausedUntil)
        return closed(restriction_reason::Paused, state.pausedUntil);
    if (now < state.avoidUntil)
        return closed(restriction_reason::Backoff, state.avoidUntil);
    if (now < state.outlierUntil)
        return closed(restriction_reason::Outlier, state.outlierUntil);
    const auto shareOf = [&](double rate) { return state.usualRate > 0 ? std::min(1.0, rate / state.usualRate) : 0; };
    if (const auto rate = m_limits.currentRate(now, state.record.id))
        return endpoint_restriction { restriction_reason::NamedLimit, now, {}, shareOf(*rate) };
    if (state.pace.isRamping())
        return endpoint_restriction { restriction_reason::Ramp, now, {}, shareOf(state.pace.rate()) };
    const instant coldUntil = state.recordReceivedAt + state.record.coldFor;
    return now < coldUntil ? std::optional(endpoint_restriction { restriction_reason::Cold, now, coldUntil, 1 }) : std::nullopt;
}

std::vector<restriction_change> endpoint_fleet::updateRestrictions(instant now)
{
    std::vector<restriction_change> changes;
    if (now - m_restrictionsUpdatedAt < (m_endpoints.size() > manyEndpoints ? longUpdateInterval : updateInterval))
        return changes;
    m_restrictionsUpdatedAt = now;
    for (auto& [id, state] : m_endpoints) {
        if (m_settings.isPaced)
            updatePace(state, now);
        auto current = restrictionOf(state, now);
        if (current && state.restriction && current->reason == state.restriction->reason)
            current->since = state.restriction->since;
        else {
            if (state.restriction)
                changes.push_back({ id, *state.restriction, true });
            if (current)
                changes.push_back({ id, *current, false });
        }
        state.restriction = current;
    }
    return changes;
}

std::vector<restriction_view> endpoint_fleet::restrictions() const
{
    std::vector<restriction_view> views;
    for (const auto& [id, state] : m_endpoints) {
        if (state.restriction)
            views.push_back({ id, state.record.service, *state.restriction });
    }
    return views;
}

void endpoint_fleet::updateRingStarts(const service_id& service)
{
    if (m_changedServices.erase(service) == 0)
        return;
    std::map<std::pair<std::uint64_t, std::string_view>, std::vector<endpoint_state*>> byAddress;
    for (auto& [id, state] : m_endpoints) {
        if (state.record.service == service)
            byAddress[{ rendezvousScore({}, state.record.address), state.record.address }].push_back(&state);
    }
    std::size_t index = 0;
    for (const auto& [address, states] : byAddress) {
        const double start = byAddress.size() > maxEvenlySpread ? entry_shares::ringStart(address.second) : entry_shares::ringStart(index, byAddress.size());
        for (endpoint_state* const state : states)
            state->ringStart = start;
        ++index;
    }
}

bool endpoint_fleet::isOutsideShare(endpoint_state& state, const placement_query& query)
{
    return query.now >= resumesAt(state) && !m_limits.isLimited(query.now, state.record.id) && !permissionFor(state, query).isAllowed;
}

std::optional<instant> endpoint_fleet::shareOpensAt(const placement_query& query)
{
    std::optional<instant> earliest;
    for (auto& [id, state] : m_endpoints) {
        if (!isEligible(state, query) || !isOutsideShare(state, query))
            continue;
        if (const auto opensAt = permissionFor(state, query).opensAt)
            earliest = earliest ? std::min(*earliest, *opensAt) : *opensAt;
    }
    return earliest;
}

std::optional<endpoint_limits::borrowable_request> endpoint_fleet::borrowableShare(const placement_query& query, double randomFraction)
{
    const auto byCost = [&](const auto* left, const auto* right) { return cost(*left, query) < cost(*right, query); };
    const auto borrowFrom = [&](endpoint_state& state) { return shareToBorrow(state, query, fleetRequestsPerSecond(state, query).value_or(0), randomFraction); };
    std::vector<endpoint_state*> closed;
    for (auto& [id, state] : m_endpoints) {
        if (isEligible(state, query) && isOutsideShare(state, query))
            closed.push_back(&state);
    }
    return closed.empty() ? std::nullopt : borrowFrom(**std::min_element(closed.begin(), closed.end(), byCost));
}

std::optional<endpoint_limits::borrowable_request> endpoint_fleet::firstRequestToBorrow(const placement_query& query, double randomFraction)
{
    std::vector<endpoint_state*> waiting;
    for (auto& [id, state] : m_endpoints) {
        // Without its reports, the entry does not see whether another one has sent it a request.
        const bool isObserved = state.source != load_source::None;
        if (isObserved && awaitsFirstRequest(state, query.now) && isEligible(state, query) && isOutsideShare(state, query))
            waiting.push_back(&state);
    }
    if (waiting.empty())
        return std::nullopt;
    const auto index = static_cast<std::size_t>(randomFraction * static_cast<double>(waiting.size()));
    // All ask the same entry, which knows whether it has given the first request away.
    return shareToBorrow(*waiting[index], query, 1, 0);
}

std::optional<endpoint_limits::borrowable_request> endpoint_fleet::shareToBorrow(const endpoint_state& state, const placement_query& query, std::uint32_t requests, double randomFraction) const
{
    const auto owner = m_shares.otherOwner(requests, query.entryCount, state.ringStart, randomFraction);
    if (!owner)
        return std::nullopt;
    return endpoint_limits::borrowable_request { { .endpoint = state.record.id, .startedAtMs = state.record.startedAtMs, .turn = sharedTurn }, *owner };
}

bool endpoint_fleet::lendShare(const placement_query& query, const permit_question& question)
{
    endpoint_state* const state = find(question.endpoint);
    if (state == nullptr || state->record.startedAtMs != question.startedAtMs || !isEligible(*state, query))
        return false;
    updateRingStarts(query.service);
    const auto requests = fleetRequestsPerSecond(*state, query);
    return requests && permissionFor(*state, query).isAllowed && state->shares.lend(query.now, m_shares.share(*requests, query.entryCount, state->ringStart));
}

void endpoint_fleet::borrowShare(const permit_question& question, instant askedAt)
{
    if (endpoint_state* const state = find(question.endpoint))
        state->shares.borrow(askedAt);
}

void endpoint_fleet::recordShareRefused(const permit_question& question)
{
    if (endpoint_state* const state = find(question.endpoint))
        state->pace.recordUsedElsewhere();
}

bool endpoint_fleet::isWithinNamedLimit(const endpoint_state& state, const placement_query& query)
{
    const auto rate = m_limits.currentRate(query.now, state.record.id);
    if (!rate)
        return true;
    // The reports of its agent show when such a limit ends, so no request has to find out.
    if (*rate <= endpoint_limits::leastRate && hasFreshReport(state, query.now))
        return false;
    return query.allowsLimited && m_limits.allowsSend(query.now, state.record.id);
}

std::optional<instant> endpoint_fleet::limitOpensAt(const placement_query& query, std::size_t requestsAhead, instant until)
{
    std::vector<instant> times;
    for (const auto& [id, state] : m_endpoints) {
        if (!isEligible(state, query))
            continue;
        if (!m_limits.isLimited(query.now, id))
            return std::nullopt;
        const auto own = m_limits.sendTimes(query.now, id, until);
        std::transform(own.begin(), own.end(), std::back_inserter(times),
            [&, &state = state](instant time) { return std::max(time, resumesAt(state)); });
    }
    if (times.size() <= requestsAhead)
        return std::nullopt;
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(requestsAhead), times.end());
    const instant opensAt = times[requestsAhead];
    return opensAt < until ? std::optional(opensAt) : std::nullopt;
}

std::optional<endpoint_limits::borrowable_request> endpoint_fleet::borrowableRequest(const placement_query& query, instant until, double randomFraction)
{
    std::vector<endpoint_id> limited;
    for (const auto& [id, state] : m_endpoints) {
        if (isEligible(state, query) && m_limits.isLimited(query.now, id))
            limited.push_back(id);
    }
    if (limited.empty())
        return std::nullopt;
    const double position = randomFraction * static_cast<double>(limited.size());
    const auto index = static_cast<std::size_t>(position);
    return m_limits.borrowableRequest(query.now, limited[index], until, position - static_cast<double>(index));
}

bool endpoint_fleet::areAllLimited(const placement_query& query) const
{
    bool hasEligible = false;
    for (const auto& [id, state] : m_endpoints) {
        if (!isEligible(state, query))
            continue;
        if (!m_limits.isLimited(query.now, id))
            return false;
        hasEligible = true;
    }
    return hasEligible;
}

void endpoint_fleet::pause(const endpoint_id& endpoint, instant until)
{
    if (endpoint_state* const state = find(endpoint)) {
        state->pausedUntil = std::max(state->pausedUntil, until);
        state->recoversAt = state->pausedUntil;
    }
}

std::optional<instant> endpoint_fleet::allPausedUntil(instant now, const service_id& service) const
{
    std::optional<instant> earliest;
    for (const auto& [id, state] : m_endpoints) {
        if (state.record.service != service || !isInService(state, now))
            continue;
        if (state.pausedUntil <= now)
            return std::nullopt;
        earliest = earliest ? std::min(*earliest, state.pausedUntil) : state.pausedUntil;
    }
    return earliest;
}

std::size_t endpoint_fleet::pausedCount(instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_endpoints.begin(), m_endpoints.end(), [now](const auto& entry) { return entry.second.pausedUntil > now; }));
}

void endpoint_fleet::recordSilence(instant now, const endpoint_id& endpoint)
{
    endpoint_state* const state = find(endpoint);
    if (state == nullptr)
        return;
    state->pace.recordSilence(now);
    recordOutcome(*state, now, 1);
}

void endpoint_fleet::recordEnding(instant now, const endpoint_id& endpoint, attempt_ending ending)
{
    endpoint_state* const state = find(endpoint);
    if (state == nullptr)
        return;
    state->inFlight -= std::min(state->inFlight, 1U);
    state->pace.recordFailure(now);
    switch (ending) {
    case attempt_ending::NotSent:
        state->avoidUntil = now + std::min(initialConnectBackoff * (1U << std::min(state->refusedConnections, 4U)), maxConnectBackoff);
        state->recoversAt = state->avoidUntil;
        ++state->refusedConnections;
        recordOutcome(*state, now, 1);
        break;
    case attempt_ending::Rejected:
        state->avoidUntil = now + rejectionBackoff;
        break;
    case attempt_ending::WrongEndpoint:
        state->avoidUntil = now + wrongEndpointBackoff;
        state->recoversAt = state->avoidUntil;
        break;
    case attempt_ending::FailureAnswer:
    case attempt_ending::UnprovenRefusal:
        recordOutcome(*state, now, 0.5);
        break;
    default:
        recordOutcome(*state, now, 1);
        break;
    }
}

} // namespace appleramp
