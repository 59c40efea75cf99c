#include "decisions/forwarding/forwarding_reducer.h"

#include "decisions/forwarding/durations.h"
#include "decisions/membership/rendezvous.h"

#include <algorithm>
#include <set>
#include <utility>

// The part of the reducer that shares a service's capacity among urgency ranks and teams.

namespace appleramp {

namespace {

constexpr duration demandInterval = std::chrono::milliseconds(200);
constexpr duration logInterval = std::chrono::seconds(1);
// An entry that was silent for this long no longer counts as its zone's reader, as in freshness_relay.
constexpr duration readerTimeout = std::chrono::milliseconds(1600);
// Memory of a waiting request: its state and connection, and for each token of the prompt about this many bytes of the body.
constexpr std::size_t bytesPerRequest = 4096;
constexpr std::size_t bytesPerPromptToken = 8;

std::uint8_t sharedRank(std::uint32_t urgencyRank) { return static_cast<std::uint8_t>(std::min<std::size_t>(urgencyRank, sharedRanks - 1)); }

std::uint32_t hashOf(const team_id& team) { return static_cast<std::uint32_t>(rendezvousScore({}, team.str())); }

// Urgency ranks of the requests that the route's callers may send.
std::set<std::uint8_t> ranksOf(const route& route, const route_table& routes)
{
    std::set<std::uint8_t> ranks;
    if (route.isPublic || !routes.requiresKeys())
        ranks.insert(sharedRank(route.urgencyRank));
    else
        for (const team& each : routes.teams())
            ranks.insert(sharedRank(each.urgencyRank.value_or(route.urgencyRank)));
    return ranks;
}

} // namespace

void forwarding_reducer::findSharedServices()
{
    if (!m_settings.sharesRoom)
        return;
    std::map<service_id, std::set<std::uint8_t>> ranks;
    m_roomPauseTargets.clear();
    for (const route& each : m_routes->configuration().routes) {
        const auto own = ranksOf(each, *m_routes);
        const duration pauseTarget = each.pauseTarget > duration::zero() ? each.pauseTarget : m_settings.defaultPauseTarget;
        for (const weighted_service& choice : each.services) {
            ranks[choice.service].insert(own.begin(), own.end());
            if (each.kind != route_kind::Stream)
                continue;
            const auto target = m_roomPauseTargets.try_emplace(choice.service, pauseTarget).first;
            target->second = std::min(target->second, pauseTarget);
        }
    }
    std::erase_if(m_rooms, [&](const auto& room) { return !ranks.contains(room.first) || ranks.at(room.first).size() < 2; });
    for (const auto& [service, own] : ranks) {
        if (own.size() >= 2)
            m_rooms.try_emplace(service);
    }
}

room_gate* forwarding_reducer::sharedRoom(const service_id& service)
{
    const auto found = m_rooms.find(service);
    return found == m_rooms.end() ? nullptr : &found->second;
}

void forwarding_reducer::updateRoom(instant now, const service_id& service, room_gate& room)
{
    service_load load = m_fleet.loadOf(now, service);
    const auto pace = m_streamPaces.find(service);
    const auto pauseTarget = m_roomPauseTargets.find(service);
    if (pace != m_streamPaces.end() && pauseTarget != m_roomPauseTargets.end())
        load.utilizationLimit = pace->second.utilizationLimit(pauseTarget->second);
    rank_values inFlight {};
    for (const auto& [number, request] : m_requests) {
        if (request.service == service && !request.currentEndpoint.empty())
            ++inFlight[sharedRank(request.urgencyRank)];
    }
    room.update(now, load, inFlight, m_peers.entryCount(now));
}

void forwarding_reducer::recordRoomArrival(instant now, const request_state& request)
{
    if (room_gate* const room = sharedRoom(request.service))
        room->recordArrival(now, sharedRank(request.urgencyRank), hashOf(request.team), request.caller.contentHash);
}

room_query forwarding_reducer::roomQuery(instant now, request_number number, const request_state& request)
{
    return { .now = now,
        .request = number,
        .rank = sharedRank(request.urgencyRank),
        .team = hashOf(request.team),
        .contentHash = request.caller.contentHash,
        .latencyTarget = request.matchedRoute->latencyTarget,
        .timeLeft = request.deadline - now,
        .bytes = bytesPerRequest + bytesPerPromptToken * request.caller.promptTokens,
        .jitter = randomFraction() };
}

bool forwarding_reducer::passRoom(instant now, request_number number, request_state& request, room_gate& room)
{
    // A request that an endpoint may have got goes before new ones.
    if (request.hasRoom || request.attempts > 0)
        return true;
    if (const waiting_request* const waiting = room.waiting().find(number)) {
        if (now < waiting->waitsUntil)
            m_effects.emplace_back(wait_for_service { number, waiting->waitsUntil });
        else
            refuseForRoom(number, request, room, room.refuseWaiting(roomQuery(now, number, request), room_refusal_cause::WaitedInVain));
        return false;
    }
    if (const auto retryAfter = stallRetryAfter(now, request)) {
        refusePlacement(number, request, refusal_reason::NoCapacity, retryAfter);
        return false;
    }
    if (room.isUpdateDue(now))
        updateRoom(now, request.service, room);
    const room_decision decision = room.decide(roomQuery(now, number, request));
    if (const auto* const refusal = std::get_if<room_refusal>(&decision)) {
        refuseForRoom(number, request, room, *refusal);
        return false;
    }
    if (const auto* const wait = std::get_if<room_wait>(&decision)) {
        m_effects.emplace_back(wait_for_service { number, wait->until });
        m_effects.emplace_back(log_decision { "waits_for_room", request.caller.sendId,
            { { "service", request.service.str() }, { "for_ms", millisecondsText(wait->until - now) }, { "rank", std::to_string(request.urgencyRank) } } });
        refuseDisplaced(now, room, wait->displaced);
        return false;
    }
    request.hasRoom = true;
    return true;
}

void forwarding_reducer::refuseForRoom(request_number number, const request_state& request, const room_gate& room, const room_refusal& refusal)
{
    const std::uint8_t rank = sharedRank(request.urgencyRank);
    ++m_roomRefusals[refusal.cause];
    m_effects.emplace_back(log_decision { "no_room", request.caller.sendId,
        { { "cause", std::string(nameOf(refusal.cause)) }, { "rank", std::to_string(rank) }, { "team", request.team.str() },
            { "rank_fraction", std::to_string(room.room().fraction(rank)) },
            { "team_fraction", std::to_string(room.room().fraction(rank, hashOf(request.team))) },
            { "utilization", std::to_string(room.room().utilization()) }, { "waiting", std::to_string(room.waiting().size()) } } });
    refusePlacement(number, request, refusal_reason::NoCapacity, refusal.retryAfter);
}

void forwarding_reducer::refuseDisplaced(instant now, room_gate& room, const std::vector<request_number>& displaced)
{
    for (const request_number number : displaced) {
        if (const auto found = m_requests.find(number); found != m_requests.end())
            refuseForRoom(number, found->second, room, room.refuseWaiting(roomQuery(now, number, found->second), room_refusal_cause::Displaced));
    }
}

void forwarding_reducer::sendRoomWaiting(instant now)
{
    for (auto& [service, room] : m_rooms) {
        if (room.waiting().size() == 0)
            continue;
        if (room.isUpdateDue(now))
            updateRoom(now, service, room);
        while (const auto ready = room.takeReady(now)) {
            const auto found = m_requests.find(*ready);
            if (found == m_requests.end())
                continue;
            found->second.hasRoom = true;
            place(now, *ready, found->second);
        }
    }
}

void forwarding_reducer::on(const demand_reported& event)
{
    room_gate* const room = sharedRoom(event.report.service);
    if (room == nullptr || event.report.sender.str() == m_settings.instance || !room->recordReport(event.now, event.report, m_settings.zone))
        return;
    if (!event.report.isZoneSum)
        return;
    // The reader of this zone passes the sums of other zones on.
    const auto heard = m_peers.heardWithin(event.now, readerTimeout);
    const auto own = heard.find(m_settings.zone);
    if (own != heard.end() && m_settings.instance < own->second.begin()->str())
        m_effects.emplace_back(share_demand { event.report, { own->second.begin(), own->second.end() } });
}

void forwarding_reducer::shareDemand(instant now)
{
    logRooms(now);
    if (now - m_demandSharedAt < demandInterval)
        return;
    m_demandSharedAt = now;
    std::map<availability_zone_id, std::set<instance_id>> heard;
    for (auto& [service, room] : m_rooms) {
        updateRoom(now, service, room);
        if (!room.shouldReport())
            continue;
        if (heard.empty())
            heard = m_peers.heardWithin(now, readerTimeout);
        const std::set<instance_id>& own = heard[m_settings.zone];
        demand_report report = room.ownReport();
        report.sender = instance_id(m_settings.instance);
        report.zone = m_settings.zone;
        report.sequence = static_cast<std::uint64_t>(now.time_since_epoch().count());
        report.service = service;
        if (!own.empty())
            m_effects.emplace_back(share_demand { report, { own.begin(), own.end() } });
        if (!own.empty() && own.begin()->str() < m_settings.instance)
            continue;
        demand_report sum = room.zoneReport(now);
        std::tie(sum.sender, sum.zone, sum.sequence, sum.service, sum.isZoneSum) = std::tuple(report.sender, report.zone, report.sequence, service, true);
        std::vector<instance_id> readers;
        for (const auto& [zone, entries] : heard) {
            if (zone != m_settings.zone && !entries.empty())
                readers.push_back(*entries.begin());
        }
        if (!readers.empty())
            m_effects.emplace_back(share_demand { std::move(sum), std::move(readers) });
    }
}

void forwarding_reducer::logRooms(instant now)
{
    if (now - m_roomsLoggedAt < logInterval)
        return;
    m_roomsLoggedAt = now;
    for (const auto& [service, room] : m_rooms) {
        if (!room.room().isNearLimit())
            continue;
        std::string fractions;
        for (std::uint8_t rank = 0; rank < sharedRanks; ++rank)
            fractions.append(rank == 0 ? "" : ",").append(std::to_string(room.room().fraction(rank)));
        m_effects.emplace_back(log_decision { "room_shares", {},
            { { "service", service.str() }, { "utilization", std::to_string(room.room().utilization()) }, { "fractions", std::move(fractions) },
                { "waiting", std::to_string(room.waiting().size()) }, { "others_known", room.room().hasOtherReports() ? "true" : "false" } } });
    }
}

} // namespace appleramp
