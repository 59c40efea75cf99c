#include "decisions/pace/pace_world.h"

#include "decisions/forwarding/endpoint_subset.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace appleramp::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration tickInterval = 25ms;
constexpr duration reportInterval = 100ms;
constexpr duration datagramDelay = 1ms;
// Events of a stream.
constexpr int answerParts = 5;
const service_id service("service");

availability_zone_id zoneOf(std::size_t number) { return availability_zone_id(std::string(1, static_cast<char>('a' + number % 3))); }
std::string nameOfEntry(std::size_t entry) { return "front-" + std::to_string(entry); }
std::size_t numberOf(const instance_id& entry) { return static_cast<std::size_t>(std::stoul(entry.str().substr(6))); }
std::string addressOf(std::size_t endpoint) { return "10.0.0." + std::to_string(endpoint) + ":80"; }

routing_configuration configurationOf(const pace_world_settings& settings)
{
    route route;
    route.name = "read";
    route.host = "a.example";
    route.prefix = "/read/";
    route.kind = settings.isGroup ? route_kind::Stream : route_kind::Idempotent;
    route.services = { { service, 1 } };
    route.timeout = 8s;
    route.latencyTarget = settings.isGroup ? duration(400ms) : duration(300ms);
    route.maxAttempts = 2;
    routing_configuration result;
    result.version = 1;
    result.routes = { route };
    service_description description;
    description.id = service;
    description.coldRequestsPerSecond = settings.coldRate;
    result.services.push_back(description);
    return result;
}

} // namespace

struct pace_world::entry_state {
    std::unique_ptr<forwarding_reducer> reducer;
    std::set<std::string> subset;
    std::uint64_t life = 0;
};

struct pace_world::endpoint_state {
    struct request {
        std::size_t entry = 0;
        std::uint64_t entryLife = 0;
        request_number number = 0;
    };
    std::uint64_t life = 1;
    bool isListed = true;
    bool isReachable = true;
    double slowness = 1;
    std::uint32_t running = 0;
    std::deque<request> queue;
    std::vector<instant> arrivals;
    // Changes of the number that runs.
    std::vector<std::pair<instant, std::uint32_t>> runs;
    std::size_t longestQueue = 0;
    std::size_t rejected = 0;
};

pace_world::pace_world(pace_world_settings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_events(instant(1s))
{
    for (std::size_t endpoint = 0; endpoint < settings.endpoints; ++endpoint)
        m_endpoints.push_back(std::make_unique<endpoint_state>());
    for (std::size_t entry = 0; entry < settings.entries; ++entry)
        m_entries.push_back(std::make_unique<entry_state>());
    for (std::size_t entry = 0; entry < settings.entries; ++entry)
        startEntry(entry);
    schedule(100ms, [this] { sendNext(); });
    if (settings.isGroup && !settings.hasNoReports)
        reportLoads();
}

pace_world::~pace_world() = default;

void pace_world::runUntil(duration time)
{
    while (m_events.runNext(instant(time))) { }
}

endpoint_record pace_world::recordOf(std::size_t endpoint, duration coldFor) const
{
    const std::uint64_t life = m_endpoints[endpoint]->life;
    return { endpoint_id("i-" + std::to_string(endpoint) + "-" + std::to_string(life)), service, addressOf(endpoint), zoneOf(endpoint), m_settings.slots, false,
        coldFor, life };
}

void pace_world::startEntry(std::size_t entry)
{
    entry_state& state = *m_entries[entry];
    forwarding_settings settings;
    settings.zone = zoneOf(entry);
    settings.instance = nameOfEntry(entry);
    settings.seed = m_random();
    settings.fleet.isPaced = m_settings.isPaced;
    settings.retryBudget = { .requestFraction = 0.2, .baseRetries = 390, .window = 10s };
    state.reducer = std::make_unique<forwarding_reducer>(now(), settings);
    ++state.life;
    std::vector<std::string> names;
    for (std::size_t other = 0; other < m_entries.size(); ++other)
        names.push_back(nameOfEntry(other));
    std::vector<endpoint_record> records;
    std::vector<reporting_endpoint> reporting;
    std::set<std::string> addresses;
    for (std::size_t endpoint = 0; endpoint < m_endpoints.size(); ++endpoint) {
        if (m_endpoints[endpoint]->isListed)
            records.push_back(recordOf(endpoint, {}));
        reporting.push_back({ addressOf(endpoint), zoneOf(endpoint) });
        addresses.insert(addressOf(endpoint));
    }
    post(entry, entry_count_read { now(), m_entries.size(), m_entries.size() - 1, entry, names });
    post(entry, configuration_read { now(), now(), configurationOf(m_settings) });
    if (m_settings.isGroup) {
        state.subset = chooseSubset(nameOfEntry(entry), zoneOf(entry), m_entries.size(), reporting, {});
        post(entry, load_subset_changed { now(), addresses, state.subset });
    }
    post(entry, registry_read { now(), records });
    post(entry, crash_table_read { now(), true, {}, {} });
    tickEntry(entry, state.life);
}

void pace_world::tickEntry(std::size_t entry, std::uint64_t life)
{
    if (m_entries[entry]->life != life)
        return;
    post(entry, configuration_read { now(), now(), std::nullopt });
    post(entry, timer_ticked { now() });
    schedule(tickInterval, [this, entry, life] { tickEntry(entry, life); });
}

void pace_world::stopEndpoint(std::size_t endpoint)
{
    endpoint_state& state = *m_endpoints[endpoint];
    const endpoint_id id = recordOf(endpoint, {}).id;
    state.isReachable = state.isListed = false;
    state.queue.clear();
    state.running = 0;
    state.runs.emplace_back(now(), 0);
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
        post(entry, endpoint_unlisted { now(), id });
    ++state.life;
}

void pace_world::startEndpoint(std::size_t endpoint, duration coldFor)
{
    m_endpoints[endpoint]->isReachable = m_endpoints[endpoint]->isListed = true;
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        const duration delay(static_cast<duration::rep>(fraction() * 100'000));
        schedule(delay, [this, entry, record = recordOf(endpoint, coldFor)] { post(entry, endpoint_listed { now(), record }); });
    }
}

void pace_world::setSlowness(std::size_t endpoint, double slowness) { m_endpoints[endpoint]->slowness = slowness; }
void pace_world::setReachable(std::size_t endpoint, bool isReachable) { m_endpoints[endpoint]->isReachable = isReachable; }
void pace_world::restartEntry(std::size_t entry) { startEntry(entry); }
void pace_world::setRequestsPerSecond(double rate) { m_settings.requestsPerSecond = rate; }

void pace_world::setZonesOut(const std::set<availability_zone_id>& zones)
{
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
        post(entry, out_of_service_zones_changed { now(), zones });
}

void pace_world::reportLoads()
{
    for (std::size_t endpoint = 0; endpoint < m_endpoints.size(); ++endpoint) {
        const endpoint_state& state = *m_endpoints[endpoint];
        endpoint_load load { .address = addressOf(endpoint), .running = state.running, .waiting = static_cast<std::uint32_t>(state.queue.size()), .slowdownFactor = state.slowness, .startedAtMs = state.life };
        std::vector<std::size_t> subscribers;
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            if (m_entries[entry]->subset.contains(load.address))
                subscribers.push_back(entry);
        }
        load.subscribers = static_cast<std::uint32_t>(subscribers.size());
        for (const std::size_t entry : subscribers) {
            if (state.isReachable)
                schedule(datagramDelay, [this, entry, load] { post(entry, endpoint_load_received { now(), load }); });
        }
    }
    schedule(reportInterval, [this] { reportLoads(); });
}

void pace_world::sendNext()
{
    if (m_settings.requestsPerSecond > 0) {
        const request_number number = ++m_lastRequest;
        m_outcomes[number].when = now();
        caller_request caller;
        caller.host = "a.example";
        caller.path = "/read/x";
        caller.sendId = "s" + std::to_string(number);
        caller.timeout = 3s;
        caller.contentHash = number;
        post(std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random), request_arrived { now(), number, caller });
    }
    const double rate = std::max(m_settings.requestsPerSecond, 10.0);
    schedule(duration(static_cast<duration::rep>(2e6 * fraction() / rate)), [this] { sendNext(); });
}

void pace_world::post(std::size_t entry, const forwarding_event& event)
{
    for (const forwarding_effect& effect : m_entries[entry]->reducer->handle(event))
        carryOut(entry, effect);
}

void pace_world::tell(std::size_t entry, std::size_t other, std::function<void()> action)
{
    ++m_datagrams;
    if (entry >= m_settings.deaf || other >= m_settings.deaf)
        schedule(datagramDelay, std::move(action));
}

void pace_world::carryOut(std::size_t entry, const forwarding_effect& effect)
{
    const std::uint64_t life = m_entries[entry]->life;
    if (const auto* const attempt = std::get_if<send_attempt>(&effect))
        reach(entry, *attempt);
    else if (const auto* const refusal = std::get_if<refuse_request>(&effect))
        m_outcomes[refusal->request].isRefused = true;
    else if (const auto* const ask = std::get_if<ask_permit>(&effect)) {
        const std::size_t owner = numberOf(ask->owner);
        tell(entry, owner, [this, entry, owner, question = ask->question] { post(owner, permit_asked { now(), instance_id(nameOfEntry(entry)), question }); });
    } else if (const auto* const answer = std::get_if<answer_permit>(&effect)) {
        const std::size_t asker = numberOf(answer->asker);
        tell(entry, asker, [this, asker, given = answer->answer] { post(asker, permit_answered { now(), given }); });
    } else if (const auto* const wait = std::get_if<wait_for_service>(&effect))
        schedule(wait->until - now(), [this, entry, life, number = wait->request] {
            if (m_entries[entry]->life == life)
                post(entry, service_wait_ended { now(), number });
        });
}

void pace_world::reach(std::size_t entry, const send_attempt& attempt)
{
    const std::uint64_t life = m_entries[entry]->life;
    const std::string name = attempt.endpoint.str();
    const std::size_t endpoint = std::stoul(name.substr(2));
    endpoint_state& state = *m_endpoints[endpoint];
    const auto end = [&](attempt_ending ending) {
        schedule(datagramDelay, [this, entry, life, number = attempt.request, ending] {
            if (m_entries[entry]->life == life)
                post(entry, attempt_ended { .now = now(), .request = number, .ending = ending });
        });
    };
    if (!state.isReachable || attempt.endpoint != recordOf(endpoint, {}).id)
        return end(attempt_ending::NotSent);
    state.arrivals.push_back(now());
    if (state.running < m_settings.slots)
        return run(endpoint, entry, life, attempt.request);
    if (state.queue.size() < m_settings.queuePlaces) {
        state.queue.push_back({ entry, life, attempt.request });
        state.longestQueue = std::max(state.longestQueue, state.queue.size());
        return;
    }
    ++state.rejected;
    end(attempt_ending::Rejected);
}

void pace_world::run(std::size_t endpoint, std::size_t entry, std::uint64_t life, request_number number)
{
    endpoint_state& state = *m_endpoints[endpoint];
    state.runs.emplace_back(now(), ++state.running);
    const duration time(static_cast<duration::rep>((0.7 + 0.6 * fraction()) * state.slowness * static_cast<double>(m_settings.answerTime.count())));
    for (int part = 1; m_settings.isGroup && part < answerParts; ++part)
        schedule(time * part / answerParts, [this, entry, life, number] {
            if (m_entries[entry]->life == life)
                post(entry, stream_advanced { .now = now(), .request = number });
        });
    schedule(time, [this, endpoint, endpointLife = state.life, entry, life, number] {
        if (m_endpoints[endpoint]->life != endpointLife) {
            if (m_entries[entry]->life == life)
                post(entry, attempt_ended { .now = now(), .request = number, .ending = attempt_ending::NoAnswer });
            return;
        }
        if (m_entries[entry]->life == life)
            post(entry, attempt_succeeded { now(), number });
        finish(endpoint, endpointLife);
    });
}

void pace_world::finish(std::size_t endpoint, std::uint64_t endpointLife)
{
    endpoint_state& state = *m_endpoints[endpoint];
    if (state.life != endpointLife)
        return;
    state.runs.emplace_back(now(), --state.running);
    if (state.queue.empty())
        return;
    const endpoint_state::request next = state.queue.front();
    state.queue.pop_front();
    run(endpoint, next.entry, next.entryLife, next.number);
}

std::size_t pace_world::worstSecond(duration from) const
{
    std::size_t worst = 0;
    for (const auto& state : m_endpoints) {
        auto first = std::lower_bound(state->arrivals.begin(), state->arrivals.end(), instant(from));
        for (auto last = first; last != state->arrivals.end(); ++last) {
            while (*last - *first >= 1s)
                ++first;
            worst = std::max(worst, static_cast<std::size_t>(last - first) + 1);
        }
    }
    return worst;
}

duration pace_world::firstRequestAfter(std::size_t endpoint, duration from) const
{
    const auto& arrivals = m_endpoints[endpoint]->arrivals;
    const auto first = std::lower_bound(arrivals.begin(), arrivals.end(), instant(from));
    return first == arrivals.end() ? duration(1h) : *first - instant(from);
}

double pace_world::busy(std::size_t endpoint, duration from, duration until) const
{
    double sum = 0;
    instant since(from);
    std::uint32_t running = 0;
    for (const auto& [when, count] : m_endpoints[endpoint]->runs) {
        if (when >= instant(until))
            break;
        if (when > since) {
            sum += running * std::chrono::duration<double>(when - since).count();
            since = when;
        }
        running = count;
    }
    sum += running * std::chrono::duration<double>(instant(until) - since).count();
    return sum / std::chrono::duration<double>(until - from).count();
}

std::size_t pace_world::arrivals(std::size_t endpoint, duration from, duration until) const
{
    const auto& all = m_endpoints[endpoint]->arrivals;
    return static_cast<std::size_t>(std::lower_bound(all.begin(), all.end(), instant(until)) - std::lower_bound(all.begin(), all.end(), instant(from)));
}

std::size_t pace_world::longestQueue(std::size_t endpoint) const { return m_endpoints[endpoint]->longestQueue; }
std::size_t pace_world::rejected(std::size_t endpoint) const { return m_endpoints[endpoint]->rejected; }

double pace_world::refusedFraction(duration from, duration until) const
{
    double all = 0;
    double refused = 0;
    for (const auto& [number, each] : m_outcomes) {
        if (each.when < instant(from) || each.when >= instant(until))
            continue;
        ++all;
        refused += each.isRefused ? 1 : 0;
    }
    return all > 0 ? refused / all : 0;
}

} // namespace appleramp::tests
