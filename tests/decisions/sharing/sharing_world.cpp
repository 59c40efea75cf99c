#include "decisions/sharing/sharing_world.h"

#include "datagrams/datagram_codec.h"
#include "decisions/sharing/sharing_world_state.h"

#include <algorithm>
#include <utility>

namespace appleramp::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration tickInterval = 100ms;
constexpr duration presenceInterval = 700ms;
const service_id engines("engines");

std::string nameOfEntry(std::size_t entry) { return "entry-" + std::to_string(100 + entry); }
std::size_t numberOf(const instance_id& entry) { return static_cast<std::size_t>(std::stoul(entry.str().substr(6))) - 100; }
std::string pathOf(std::size_t kind) { return "/kind-" + std::to_string(kind) + "/"; }
availability_zone_id zoneOf(std::size_t number, std::size_t zones) { return availability_zone_id("zone-" + std::to_string(number % zones)); }

} // namespace

sharing_world::sharing_world(sharing_world_settings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_events(instant(1s))
{
    for (std::size_t engine = 0; engine < m_settings.engines; ++engine)
        m_engines.push_back(std::make_unique<engine_state>());
    for (std::size_t entry = 0; entry < m_settings.entries; ++entry)
        m_entries.push_back(std::make_unique<entry_state>());
    for (std::size_t entry = 0; entry < m_settings.entries; ++entry)
        startEntry(entry);
    for (std::size_t kind = 0; kind < m_settings.kinds.size(); ++kind)
        schedule(1s, [this, kind] { nextCaller(kind); });
    reportLoads();
}

sharing_world::~sharing_world() = default;

double sharing_world::fraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

void sharing_world::runUntil(duration time)
{
    while (m_events.runNext(instant(time))) { }
}

std::vector<endpoint_record> sharing_world::registry() const
{
    std::vector<endpoint_record> records;
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        if (!m_engines[engine]->isGone)
            records.push_back({ endpoint_id("i-" + std::to_string(engine)), engines, addressOf(engine), zoneOf(engine, m_settings.zones), m_settings.slots, false, {}, engine + 1 });
    }
    return records;
}

routing_configuration sharing_world::configuration() const
{
    routing_configuration result;
    result.version = 1;
    std::size_t teams = 1;
    for (std::size_t kind = 0; kind < m_settings.kinds.size(); ++kind) {
        const caller_kind& each = m_settings.kinds[kind];
        route route { .name = pathOf(kind), .host = "a.example", .prefix = pathOf(kind), .kind = route_kind::Stream, .services = { { engines, 1 } } };
        route.timeout = m_settings.callerTimeout;
        route.latencyTarget = each.latencyTarget;
        route.urgencyRank = each.rank;
        route.maxAttempts = 2;
        route.resumable = true;
        result.routes.push_back(route);
        teams = std::max(teams, each.teams.size());
    }
    result.teams.emplace();
    for (std::size_t team = 0; team < teams; ++team)
        result.teams->push_back({ team_id("team-" + std::to_string(team)), { "key-" + std::to_string(team) }, {} });
    return result;
}

void sharing_world::startEntry(std::size_t entry)
{
    entry_state& state = *m_entries[entry];
    forwarding_settings settings;
    settings.zone = zoneOf(entry, m_settings.zones);
    settings.instance = nameOfEntry(entry);
    settings.seed = m_random();
    settings.sharesRoom = m_settings.sharesRoom;
    state.reducer = std::make_unique<forwarding_reducer>(now(), settings);
    state.waitingSince.clear();
    ++state.life;
    std::vector<std::string> names;
    std::set<std::string> addresses;
    for (std::size_t other = 0; other < m_entries.size(); ++other)
        names.push_back(nameOfEntry(other));
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine)
        addresses.insert(addressOf(engine));
    post(entry, entry_count_read { now(), m_entries.size(), m_entries.size() - 1, entry, names });
    post(entry, configuration_read { now(), now(), configuration() });
    post(entry, registry_read { now(), registry() });
    post(entry, crash_table_read { now(), true, {}, {} });
    post(entry, load_subset_changed { now(), addresses, addresses });
    tickEntry(entry, state.life);
}

void sharing_world::removeEngines(std::size_t from)
{
    for (std::size_t engine = from; engine < m_engines.size(); ++engine)
        m_engines[engine]->isGone = true;
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
        post(entry, registry_read { now(), registry() });
}

void sharing_world::restartEntry(std::size_t entry)
{
    for (caller_state& caller : m_callers)
        caller.isOver = caller.isOver || (caller.entry == entry && !caller.isServed);
    startEntry(entry);
}

void sharing_world::cutEntry(std::size_t entry, duration length) { m_entries[entry]->cutUntil = now() + length; }
void sharing_world::freezeEntry(std::size_t entry, duration length) { m_entries[entry]->frozenUntil = now() + length; }
const forwarding_reducer& sharing_world::reducer(std::size_t entry) const { return *m_entries[entry]->reducer; }
std::size_t sharing_world::demandDatagrams(std::size_t entry) const { return m_entries[entry]->datagrams; }
std::size_t sharing_world::demandBytes(std::size_t entry) const { return m_entries[entry]->bytes; }

void sharing_world::whenAwake(std::size_t entry, std::uint64_t life, const std::function<void()>& action)
{
    const entry_state& state = *m_entries[entry];
    if (state.life != life)
        return;
    if (now() < state.frozenUntil)
        return schedule(state.frozenUntil - now(), [this, entry, life, action] { whenAwake(entry, life, action); });
    action();
}

void sharing_world::tickEntry(std::size_t entry, std::uint64_t life)
{
    whenAwake(entry, life, [this, entry, life] {
        entry_state& state = *m_entries[entry];
        post(entry, configuration_read { now(), now(), std::nullopt });
        post(entry, timer_ticked { now() });
        if (now() - state.presenceToldAt >= presenceInterval) {
            state.presenceToldAt = now();
            const std::string name = nameOfEntry(entry);
            for (std::size_t other = 0; other < m_entries.size(); ++other) {
                if (other != entry)
                    sendDatagram(entry, other, entry_presence { instance_id(name), zoneOf(entry, m_settings.zones), name, true, 1 });
            }
        }
        schedule(tickInterval, [this, entry, life] { tickEntry(entry, life); });
    });
}

void sharing_world::sendDatagram(std::size_t from, std::size_t to, const datagram_message& message)
{
    if (now() < m_entries[from]->cutUntil || now() < m_entries[to]->cutUntil || fraction() < m_settings.datagramLoss || !m_entries[to]->reducer)
        return;
    const std::string bytes = encodeDatagram(message);
    if (std::holds_alternative<demand_report>(message)) {
        ++m_entries[to]->datagrams;
        m_entries[to]->bytes += bytes.size();
    }
    schedule(2ms, [this, to, bytes, life = m_entries[to]->life] {
        whenAwake(to, life, [this, to, bytes] {
            const auto decoded = decodeDatagram(bytes);
            if (const auto* const presence = std::get_if<entry_presence>(&*decoded))
                post(to, entry_presence_received { now(), *presence });
            else if (const auto* const report = std::get_if<demand_report>(&*decoded))
                post(to, demand_reported { now(), *report });
        });
    });
}

void sharing_world::nextCaller(std::size_t kind)
{
    const caller_kind& each = m_settings.kinds[kind];
    // A kind that nobody asks for is looked at again soon.
    const double rate = std::max(each.perSecond, 1e-6);
    const double wait = std::exponential_distribution<double>(rate)(m_random);
    if (wait > 0.1)
        return schedule(100ms, [this, kind] { nextCaller(kind); });
    schedule(scaledBy(1s, wait), [this, kind] {
        const caller_kind& chosen = m_settings.kinds[kind];
        caller_state caller;
        caller.kind = kind;
        if (!chosen.teams.empty())
            caller.team = std::discrete_distribution<std::size_t>(chosen.teams.begin(), chosen.teams.end())(m_random);
        caller.arrivedAt = now();
        caller.isImpatient = fraction() < m_settings.impatientCallers;
        caller.entry = m_settings.usesOneEntry ? 0 : static_cast<std::size_t>(fraction() * static_cast<double>(m_entries.size()));
        m_callers.push_back(caller);
        const std::size_t number = m_callers.size() - 1;
        arrive(number);
        if (fraction() < m_settings.leavingCallers)
            schedule(m_settings.leavesAfter, [this, number] {
                caller_state& leaving = m_callers[number];
                if (leaving.isOver || leaving.firstEventAt != instant {})
                    return;
                leaving.isOver = leaving.hasLeft = true;
                post(leaving.entry, caller_disconnected { now(), leaving.send });
                if (const room_gate& room = reducer(leaving.entry).rooms().at(engines); room.isWaiting(leaving.send))
                    m_longestPlaceOfGone = std::max(m_longestPlaceOfGone, duration(1s));
            });
        nextCaller(kind);
    });
}

void sharing_world::arrive(std::size_t number)
{
    caller_state& caller = m_callers[number];
    if (caller.isOver)
        return;
    ++caller.sends;
    caller.send = ++m_lastRequest;
    m_sends[caller.send] = number;
    caller_request request;
    request.host = "a.example";
    request.path = pathOf(caller.kind) + "x";
    request.sendId = std::to_string(caller.send);
    request.apiKey = "key-" + std::to_string(caller.team);
    request.timeout = caller.arrivedAt + m_settings.callerTimeout - now();
    request.contentHash = number + 1;
    whenAwake(caller.entry, m_entries[caller.entry]->life, [this, entry = caller.entry, send = caller.send, request] {
        post(entry, request_arrived { now(), send, request });
    });
}

void sharing_world::post(std::size_t entry, const forwarding_event& event)
{
    for (const forwarding_effect& effect : m_entries[entry]->reducer->handle(event))
        carryOut(entry, effect);
    for (const auto& [service, room] : m_entries[entry]->reducer->rooms()) {
        m_mostWaiting = std::max(m_mostWaiting, room.waiting().size());
        m_mostReturning = std::max(m_mostReturning, room.returningCount());
    }
}

void sharing_world::carryOut(std::size_t entry, const forwarding_effect& effect)
{
    entry_state& state = *m_entries[entry];
    if (const auto* const sent = std::get_if<send_attempt>(&effect))
        reachEngine(entry, *sent);
    else if (const auto* const refusal = std::get_if<refuse_request>(&effect))
        refuse(entry, refusal->request, *refusal);
    else if (const auto* const wait = std::get_if<wait_for_service>(&effect)) {
        state.waitingSince.try_emplace(wait->request, now());
        schedule(wait->until - now(), [this, entry, life = state.life, number = wait->request] {
            whenAwake(entry, life, [this, entry, number] { post(entry, service_wait_ended { now(), number }); });
        });
    } else if (const auto* const cancelled = std::get_if<cancel_forwarded_request>(&effect)) {
        state.waitingSince.erase(cancelled->request);
        leaveEngine(cancelled->request);
    } else if (const auto* const shared = std::get_if<share_demand>(&effect)) {
        for (const instance_id& recipient : shared->recipients)
            sendDatagram(entry, numberOf(recipient), shared->report);
    }
}

void sharing_world::refuse(std::size_t entry, request_number number, const refuse_request& effect)
{
    m_entries[entry]->waitingSince.erase(number);
    ++m_refusals;
    const std::size_t index = m_sends.at(number);
    caller_state& caller = m_callers[index];
    if (guaranteesNotExecuted(effect.reason)) {
        for (const auto& engine : m_engines)
            m_falseNotRun += engine->running.contains(number) ? 1 : 0;
    }
    const duration left = caller.arrivedAt + m_settings.callerTimeout - now();
    const bool isPatient = !caller.isImpatient && effect.retryAfter && *effect.retryAfter <= left / 3;
    const bool mayRetry = caller.sends <= (caller.isImpatient ? m_settings.impatientRetries : 1) && (caller.isImpatient || isPatient);
    if (!mayRetry) {
        caller.isOver = true;
        return;
    }
    if (!m_settings.returnsToSameEntry)
        caller.entry = static_cast<std::size_t>(fraction() * static_cast<double>(m_entries.size()));
    schedule(caller.isImpatient ? m_settings.impatientPause : *effect.retryAfter + 2ms, [this, index] { arrive(index); });
}

void sharing_world::checkInvariants(std::size_t entry, request_number sent)
{
    entry_state& state = *m_entries[entry];
    state.waitingSince.erase(sent);
    const caller_state& caller = m_callers[m_sends.at(sent)];
    if (now() > caller.arrivedAt + m_settings.callerTimeout)
        ++m_sentTooLate;
    for (const auto& [number, since] : state.waitingSince) {
        if (m_settings.kinds[m_callers[m_sends.at(number)].kind].rank < m_settings.kinds[caller.kind].rank)
            m_longestOvertaken = std::max(m_longestOvertaken, now() - since);
    }
}

std::size_t sharing_world::waitingNow() const
{
    std::size_t waiting = 0;
    for (const auto& entry : m_entries) {
        for (const auto& [service, room] : entry->reducer->rooms())
            waiting += room.waiting().size();
    }
    return waiting;
}

} // namespace appleramp::tests
