#include "decisions/limits/limit_world.h"

#include "datagrams/datagram_codec.h"
#include "fakes/other_entries.h"

#include <algorithm>
#include <utility>

namespace appleramp::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration tickInterval = 100ms;
constexpr duration presenceInterval = 700ms;
constexpr duration reportInterval = 100ms;
// Entries that are told all that an entry knows in each round.
constexpr std::size_t recordRecipients = 3;
constexpr std::uint32_t slots = 12;
const availability_zone_id zone("a");

std::string nameOfEntry(std::size_t entry) { return "entry-" + std::to_string(entry); }
std::size_t numberOf(const instance_id& entry) { return static_cast<std::size_t>(std::stoul(entry.str().substr(6))); }
endpoint_id idOf(std::size_t endpoint) { return endpoint_id("i-" + std::to_string(endpoint)); }
std::string addressOf(std::size_t endpoint) { return "10.0.0." + std::to_string(endpoint) + ":80"; }

} // namespace

struct limit_world::entry_state {
    std::unique_ptr<forwarding_reducer> reducer;
    std::uint64_t life = 0;
    instant cutUntil;
    instant frozenUntil;
    instant presenceToldAt;
    // When this life of the entry first passed on an answer with a limit, by endpoint.
    std::map<std::size_t, instant> toldAt;
};

routing_configuration limitedServiceConfiguration()
{
    route route;
    route.name = "read";
    route.host = "a.example";
    route.prefix = "/read/";
    route.kind = route_kind::Idempotent;
    route.services = { { limitedService, 1 } };
    route.timeout = 8s;
    route.latencyTarget = 500ms;
    route.maxAttempts = 2;
    routing_configuration result;
    result.version = 1;
    result.routes = { route };
    return result;
}

limit_world::limit_world(limit_world_settings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_events(instant(1s))
{
    for (std::size_t entry = 0; entry < settings.entries; ++entry)
        m_entries.push_back(std::make_unique<entry_state>());
    for (std::size_t entry = 0; entry < settings.entries; ++entry)
        startEntry(entry);
    schedule(1s, [this] { sendNext(); });
    if (settings.hasAgents)
        reportLoads();
}

limit_world::~limit_world() = default;

double limit_world::fraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

void limit_world::runUntil(duration time)
{
    while (m_events.runNext(instant(time))) { }
}

std::vector<endpoint_record> limit_world::registry() const
{
    std::vector<endpoint_record> records;
    for (std::size_t endpoint = 0; endpoint < m_settings.endpoints; ++endpoint)
        records.push_back({ idOf(endpoint), limitedService, addressOf(endpoint), zone, slots, false, {}, endpoint + 1 });
    return records;
}

void limit_world::startEntry(std::size_t entry)
{
    entry_state& state = *m_entries[entry];
    forwarding_settings settings;
    settings.zone = zone;
    settings.instance = nameOfEntry(entry);
    settings.seed = m_random();
    settings.retryBudget = { .requestFraction = 0.2, .baseRetries = 92, .window = 10s };
    state.reducer = std::make_unique<forwarding_reducer>(now(), settings);
    state.toldAt.clear();
    ++state.life;
    std::vector<std::string> names;
    for (std::size_t other = 0; other < m_entries.size(); ++other)
        names.push_back(nameOfEntry(other));
    post(entry, entry_count_read { now(), m_entries.size(), m_entries.size() - 1, entry, names });
    post(entry, configuration_read { now(), now(), limitedServiceConfiguration() });
    post(entry, registry_read { now(), registry() });
    post(entry, crash_table_read { now(), true, {}, {} });
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
        if (other != entry && m_entries[other]->reducer)
            tell(other, entry, endpoint_limit_records { m_entries[other]->reducer->limitsForStartingEntry(now()) });
    }
    tickEntry(entry, state.life);
}

void limit_world::restartEntry(std::size_t entry) { startEntry(entry); }

void limit_world::cutEntry(std::size_t entry, duration length) { m_entries[entry]->cutUntil = now() + length; }

void limit_world::freezeEntry(std::size_t entry, duration length) { m_entries[entry]->frozenUntil = now() + length; }

void limit_world::changeLimit(double limit) { m_settings.limit = limit; }

void limit_world::tickEntry(std::size_t entry, std::uint64_t life)
{
    entry_state& state = *m_entries[entry];
    if (state.life != life)
        return;
    if (now() < state.frozenUntil)
        return schedule(state.frozenUntil - now(), [this, entry, life] { tickEntry(entry, life); });
    post(entry, configuration_read { now(), now(), std::nullopt });
    post(entry, timer_ticked { now() });
    if (now() - state.presenceToldAt >= presenceInterval) {
        state.presenceToldAt = now();
        const std::string name = nameOfEntry(entry);
        tellOthers(entry, entry_presence { instance_id(name), zone, name, true, 1 });
    }
    schedule(tickInterval, [this, entry, life] { tickEntry(entry, life); });
}

void limit_world::tell(std::size_t entry, std::size_t other, const datagram_message& message)
{
    const bool isCut = now() < m_entries[entry]->cutUntil || now() < m_entries[other]->cutUntil;
    if (isCut || fraction() < m_settings.datagramLoss)
        return;
    deliver(entry, other, message);
    if (fraction() < m_settings.datagramDuplication)
        deliver(entry, other, message);
}

void limit_world::deliver(std::size_t from, std::size_t to, const datagram_message& message)
{
    const duration jitter(static_cast<duration::rep>(fraction() * static_cast<double>(m_settings.datagramJitter.count())));
    schedule(m_settings.datagramDelay + jitter, [this, from, to, bytes = encodeDatagram(message)] { onDatagram(from, to, bytes); });
}

void limit_world::onDatagram(std::size_t from, std::size_t to, const std::string& bytes)
{
    if (now() < m_entries[to]->frozenUntil)
        return schedule(m_entries[to]->frozenUntil - now(), [this, from, to, bytes] { onDatagram(from, to, bytes); });
    const auto message = decodeDatagram(bytes);
    if (const auto* const presence = std::get_if<entry_presence>(&*message))
        post(to, entry_presence_received { now(), *presence });
    else if (const auto* const told = std::get_if<endpoint_limit_records>(&*message))
        post(to, endpoint_limits_told { now(), told->records });
    else if (const auto* const question = std::get_if<permit_question>(&*message))
        post(to, permit_asked { now(), instance_id(nameOfEntry(from)), *question });
    else if (const auto* const answer = std::get_if<permit_answer>(&*message))
        post(to, permit_answered { now(), *answer });
    else if (const auto* const load = std::get_if<endpoint_load>(&*message))
        post(to, endpoint_load_received { now(), *load });
}

void limit_world::tellOthers(std::size_t entry, const datagram_message& message)
{
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
        if (other != entry)
            tell(entry, other, message);
    }
}

void limit_world::shareLimits(std::size_t entry, const share_endpoint_limits& effect)
{
    const endpoint_limit_records message { effect.records };
    if (effect.recipients == record_recipients::AllEntries)
        return tellOthers(entry, message);
    const std::vector<std::size_t> others = shuffledOthers(m_entries.size(), entry, m_random);
    for (std::size_t number = 0; number < std::min(recordRecipients, others.size()); ++number)
        tell(entry, others[number], message);
}

void limit_world::reportLoads()
{
    for (std::size_t endpoint = 0; endpoint < m_settings.endpoints; ++endpoint) {
        endpoint_load load { .address = addressOf(endpoint), .subscribers = static_cast<std::uint32_t>(m_entries.size()), .startedAtMs = endpoint + 1 };
        if (isNaming(endpoint))
            load.limit = request_limit { m_settings.limit };
        else if (endpoint < m_settings.limited && now() >= instant(m_settings.namedUntil))
            load.limit = no_limit {};
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            if (fraction() >= m_settings.datagramLoss)
                deliver(entry, entry, load);
        }
    }
    schedule(reportInterval, [this] { reportLoads(); });
}

void limit_world::sendNext()
{
    const request_number number = ++m_lastRequest;
    m_outcomes[number].when = now();
    const std::size_t entry = std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random);
    arrive(entry, number);
    schedule(duration(static_cast<duration::rep>(2 * fraction() * static_cast<double>(m_settings.requestInterval.count()))), [this] { sendNext(); });
}

void limit_world::arrive(std::size_t entry, request_number number)
{
    if (now() < m_entries[entry]->frozenUntil)
        return schedule(m_entries[entry]->frozenUntil - now(), [this, entry, number] { arrive(entry, number); });
    caller_request caller;
    caller.host = "a.example";
    caller.path = "/read/x";
    caller.sendId = "s" + std::to_string(number);
    caller.timeout = m_settings.callerTimeout;
    caller.contentHash = number;
    post(entry, request_arrived { now(), number, caller });
}

void limit_world::post(std::size_t entry, const forwarding_event& event)
{
    for (const forwarding_effect& effect : m_entries[entry]->reducer->handle(event))
        carryOut(entry, effect);
}

void limit_world::carryOut(std::size_t entry, const forwarding_effect& effect)
{
    const std::uint64_t life = m_entries[entry]->life;
    if (const auto* const attempt = std::get_if<send_attempt>(&effect))
        reachEndpoint(entry, *attempt);
    else if (const auto* const refusal = std::get_if<refuse_request>(&effect))
        m_outcomes[refusal->request].isRefused = true;
    else if (const auto* const share = std::get_if<share_endpoint_limits>(&effect))
        shareLimits(entry, *share);
    else if (const auto* const ask = std::get_if<ask_permit>(&effect))
        tell(entry, numberOf(ask->owner), ask->question);
    else if (const auto* const answer = std::get_if<answer_permit>(&effect))
        tell(entry, numberOf(answer->asker), answer->answer);
    else if (const auto* const wait = std::get_if<wait_for_service>(&effect))
        schedule(wait->until - now(), [this, entry, life, number = wait->request] {
            wake(entry, life, number);
        });
}

void limit_world::wake(std::size_t entry, std::uint64_t life, request_number number)
{
    if (now() < m_entries[entry]->frozenUntil)
        return schedule(m_entries[entry]->frozenUntil - now(), [this, entry, life, number] { wake(entry, life, number); });
    if (m_entries[entry]->life == life)
        post(entry, service_wait_ended { now(), number });
}

bool limit_world::isNaming(std::size_t endpoint) const
{
    return endpoint < m_settings.limited && now() >= instant(m_settings.namedFrom) && now() < instant(m_settings.namedUntil);
}

void limit_world::reachEndpoint(std::size_t entry, const send_attempt& attempt)
{
    const auto endpoint = static_cast<std::size_t>(std::stoul(attempt.endpoint.str().substr(2)));
    const auto& toldAt = m_entries[entry]->toldAt;
    const auto told = toldAt.find(endpoint);
    m_arrivals.push_back({ now(), endpoint, m_settings.limit, told != toldAt.end() && now() - told->second >= toldBefore });
    schedule(m_settings.answerTime, [this, entry, endpoint, life = m_entries[entry]->life, number = attempt.request] {
        answer(entry, life, number, endpoint, isNaming(endpoint) ? std::optional(m_settings.limit) : std::nullopt);
    });
}

void limit_world::answer(std::size_t entry, std::uint64_t life, request_number number, std::size_t endpoint, std::optional<double> limit)
{
    entry_state& state = *m_entries[entry];
    if (state.life != life)
        return;
    if (now() < state.frozenUntil)
        return schedule(state.frozenUntil - now(), [this, entry, life, number, endpoint, limit] { answer(entry, life, number, endpoint, limit); });
    if (limit)
        state.toldAt.try_emplace(endpoint, now());
    if (limit)
        post(entry, endpoint_limit_stated { now(), number, request_limit { *limit } });
    else
        post(entry, endpoint_limit_stated { now(), number, no_limit {} });
    post(entry, attempt_succeeded { now(), number });
}

double limit_world::worstWindow() const
{
    const instant from = instant(m_settings.namedFrom) + contactTime;
    double worst = 0;
    for (auto last = m_arrivals.begin(); last != m_arrivals.end(); ++last) {
        if (last->when < from || last->when >= instant(m_settings.namedUntil) || last->endpoint >= m_settings.limited)
            continue;
        std::size_t counted = 0;
        double limit = last->limit;
        for (auto each = std::make_reverse_iterator(std::next(last)); each != m_arrivals.rend() && last->when - each->when < window; ++each) {
            limit = std::max(limit, each->limit);
            counted += each->endpoint == last->endpoint && each->isCounted ? 1 : 0;
        }
        const double seconds = std::chrono::duration<double>(window).count();
        worst = std::max(worst, static_cast<double>(counted) / (allowedFactor * limit * seconds + allowedMore));
    }
    return worst;
}

std::size_t limit_world::arrivals(std::size_t endpoint, duration from, duration until) const
{
    return static_cast<std::size_t>(std::count_if(m_arrivals.begin(), m_arrivals.end(), [&](const arrival& each) {
        return each.endpoint == endpoint && each.when >= instant(from) && each.when < instant(until);
    }));
}

std::size_t limit_world::refused(duration from, duration until) const
{
    return static_cast<std::size_t>(std::count_if(m_outcomes.begin(), m_outcomes.end(), [&](const auto& each) {
        return each.second.isRefused && each.second.when >= instant(from) && each.second.when < instant(until);
    }));
}

std::size_t limit_world::sent(duration from, duration until) const
{
    return static_cast<std::size_t>(std::count_if(m_outcomes.begin(), m_outcomes.end(),
        [&](const auto& each) { return each.second.when >= instant(from) && each.second.when < instant(until); }));
}

} // namespace appleramp::tests
