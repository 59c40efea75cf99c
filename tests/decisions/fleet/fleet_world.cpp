#include "decisions/fleet/fleet_world_state.h"

#include "datagrams/datagram_codec.h"
#include "fakes/other_entries.h"

#include <algorithm>
#include <utility>

namespace appleramp::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration tickInterval = 100ms;
constexpr duration presenceInterval = 700ms;
constexpr duration datagramDelay = 2ms;
constexpr duration callerTimeout = 3s;
constexpr double limitSpread = 3.0;
constexpr double leastLimit = 0.8;
constexpr std::size_t recordRecipients = 3;
constexpr duration crashingInterval = 300ms;
// Sound requests share so many parts of prompts.
constexpr std::uint64_t sharedParts = 12;
// Identifiers of what crashes engines; those of sound requests and parts are smaller.
constexpr std::uint64_t firstCrashingId = 1'000'000'000;

std::size_t numberOf(const instance_id& entry) { return static_cast<std::size_t>(std::stoul(entry.str().substr(6))); }

route routeOf(const std::string& prefix, route_kind kind, std::uint32_t attempts)
{
    route result;
    result.name = prefix;
    result.host = "a.example";
    result.prefix = prefix;
    result.kind = kind;
    result.services = { { fleetService, 1 } };
    result.timeout = callerTimeout;
    result.latencyTarget = 300ms;
    result.maxAttempts = attempts;
    return result;
}

routing_configuration configuration(bool hasExperts)
{
    routing_configuration result;
    result.version = 1;
    result.routes = { routeOf("/read/", route_kind::Idempotent, 2), routeOf("/post/", route_kind::NonRepeatable, 1) };
    service_description description;
    description.id = fleetService;
    description.coldRequestsPerSecond = fleet_world::coldPerSecond;
    if (hasExperts)
        description.experts = expert_layout { .sets = 2, .expertsPerSet = 8, .placesPerRank = 5 };
    result.services = { description };
    return result;
}

} // namespace

fleet_world::fleet_world(fleet_world_settings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_events(instant(1s))
{
    for (std::size_t engine = 0; engine < settings.engines; ++engine) {
        m_engines.push_back(std::make_unique<engine_state>());
        m_engines.back()->number = engine;
        m_engines.back()->start = ++m_lastStart;
    }
    for (std::size_t entry = 0; entry < settings.entries; ++entry)
        m_entries.push_back(std::make_unique<entry_state>());
    for (std::size_t entry = 0; entry < settings.entries; ++entry)
        startEntry(entry);
    schedule(1s, [this] { sendNext(); });
}

fleet_world::~fleet_world() = default;

double fleet_world::fraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

duration fleet_world::randomUpTo(duration most) { return duration(static_cast<duration::rep>(fraction() * static_cast<double>(most.count()))); }

void fleet_world::scheduleAt(std::size_t entry, duration delay, std::function<void()> action)
{
    schedule(delay, [this, entry, life = m_entries[entry]->life, action = std::move(action)] {
        const entry_state& state = *m_entries[entry];
        if (state.life != life)
            return;
        if (now() < state.frozenUntil)
            return scheduleAt(entry, state.frozenUntil - now(), action);
        action();
    });
}

void fleet_world::play(const std::vector<planned_fault>& faults)
{
    for (const planned_fault& fault : faults)
        m_events.runAt(instant(fault.at), [this, fault] { begin(fault); });
}

void fleet_world::runUntil(duration time)
{
    while (m_broken.empty() && m_events.runNext(instant(time))) { }
}

void fleet_world::begin(const planned_fault& fault)
{
    const std::size_t entry = fault.target % m_entries.size();
    switch (fault.kind) {
    case fault_kind::RestartEntry:
        return startEntry(entry);
    case fault_kind::RestartAllEntries:
        for (const auto& each : m_entries)
            each->reducer.reset();
        for (std::size_t each = 0; each < m_entries.size(); ++each)
            startEntry(each);
        return;
    case fault_kind::FreezeEntry:
        m_entries[entry]->frozenUntil = std::max(m_entries[entry]->frozenUntil, now() + fault.length);
        return disturb(entry, fault.length);
    case fault_kind::CutEntry:
        m_entries[entry]->cutUntil = std::max(m_entries[entry]->cutUntil, now() + fault.length);
        return disturb(entry, fault.length);
    case fault_kind::CrashEngine:
    case fault_kind::EngineLeaves:
    case fault_kind::EnginePauses:
    case fault_kind::EngineNamesLimit:
        return beginAtEngine(fault);
    case fault_kind::LoseDatagrams:
        m_datagramLoss = fault.strength / 2;
        return schedule(fault.length, [this] { m_datagramLoss = 0; });
    case fault_kind::LoseAnswers:
        m_answerLoss = fault.strength / 2;
        return schedule(fault.length, [this] { m_answerLoss = 0; });
    case fault_kind::ZoneOut:
        // Two zones must remain.
        if (m_zonesOut.empty())
            takeZoneOut(zoneOf(fault.target % m_settings.zones), 2 * fault.length);
        return;
    case fault_kind::CrashingRequest:
    case fault_kind::CrashingPart:
        m_causes.push_back({ .id = firstCrashingId + m_causes.size(), .isPart = fault.kind == fault_kind::CrashingPart });
        return sendCrashing(m_causes.size() - 1, now() + 2 * fault.length);
    case fault_kind::StoreAway:
        m_storeBackAt = std::max(m_storeBackAt, now() + fault.length);
        return;
    }
}

void fleet_world::beginAtEngine(const planned_fault& fault)
{
    const std::size_t engine = fault.target % m_engines.size();
    engine_state& target = *m_engines[engine];
    if (fault.kind == fault_kind::CrashEngine)
        return crashEngine(engine, fault.length);
    if (fault.kind == fault_kind::EngineLeaves && target.isUp && !target.isLeaving)
        return stopEngine(engine, fault.strength < 0.5);
    if (fault.kind == fault_kind::EnginePauses)
        target.pausedUntil = std::max(target.pausedUntil, now() + fault.length);
    if (fault.kind != fault_kind::EngineNamesLimit || target.isNaming(now()))
        return;
    target.limit = leastLimit + limitSpread * fault.strength;
    target.limitedFrom = now();
    target.limitedUntil = now() + 2 * fault.length;
}

void fleet_world::takeZoneOut(const availability_zone_id& zone, duration length)
{
    const auto zones = [this] {
        std::set<availability_zone_id> out;
        for (const auto& [each, since] : m_zonesOut)
            out.insert(each);
        return out_of_service_zones_changed { now(), out };
    };
    // The operator's row is written once the store answers, and so is its removal.
    const duration storeDelay = std::max(duration::zero(), m_storeBackAt - now());
    m_zonesOut[zone] = now() + storeDelay;
    followStore(zones);
    schedule(length + storeDelay, [this, zone, zones] {
        m_zonesOut.erase(zone);
        followStore(zones);
    });
}

void fleet_world::postToAll(duration delay, const std::function<forwarding_event()>& make)
{
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
        scheduleAt(entry, delay, [this, entry, make] { post(entry, make()); });
}

void fleet_world::disturb(std::size_t entry, duration length)
{
    m_entries[entry]->disturbedUntil = std::max(m_entries[entry]->disturbedUntil, now() + length + contactTime);
}

endpoint_record fleet_world::recordOf(std::size_t engine) const
{
    const engine_state& state = *m_engines[engine];
    const duration coldFor = std::max(duration::zero(), state.coldUntil - now());
    return { state.id(), fleetService, state.address(), state.zone(m_settings.zones), engineSlots, state.isLeaving, coldFor, state.start };
}

void fleet_world::startEntry(std::size_t entry)
{
    entry_state& state = *m_entries[entry];
    const std::uint64_t life = state.life + 1;
    state = {};
    state.life = life;
    // All entries start together at first, which excuses nothing later.
    if (now() > instant(1s))
        disturb(entry, duration::zero());
    forwarding_settings settings;
    settings.zone = zoneOf(entry % m_settings.zones);
    settings.instance = nameOfEntry(entry);
    settings.seed = m_random();
    settings.retryBudget = { .requestFraction = 0.2, .baseRetries = 92, .window = 10s };
    state.reducer = std::make_unique<forwarding_reducer>(now(), settings);
    std::vector<std::string> names;
    for (std::size_t other = 0; other < m_entries.size(); ++other)
        names.push_back(nameOfEntry(other));
    post(entry, entry_count_read { now(), names.size(), names.size() - 1, entry, names });
    post(entry, configuration_read { now(), now(), configuration(m_settings.hasExperts) });
    std::vector<endpoint_record> records;
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        if (m_engines[engine]->isUp)
            records.push_back(recordOf(engine));
    }
    post(entry, registry_read { now(), records });
    readSuspects(entry);
    std::set<availability_zone_id> out;
    for (const auto& [zone, since] : m_zonesOut)
        out.insert(zone);
    post(entry, out_of_service_zones_changed { now(), out });
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
        if (other != entry && m_entries[other]->reducer) {
            tell(other, entry, endpoint_limit_records { m_entries[other]->reducer->limitsForStartingEntry(now()) });
            tell(other, entry, crash_records { m_entries[other]->reducer->recordsForStartingEntry(now()) });
        }
    }
    tickEntry(entry);
}

void fleet_world::tickEntry(std::size_t entry)
{
    entry_state& state = *m_entries[entry];
    if (now() >= m_storeBackAt)
        post(entry, configuration_read { now(), now(), std::nullopt });
    post(entry, timer_ticked { now() });
    if (now() - state.presenceToldAt >= presenceInterval) {
        state.presenceToldAt = now();
        const std::string name = nameOfEntry(entry);
        tellSome(entry, entry_presence { instance_id(name), zoneOf(entry % m_settings.zones), name, true, 1 }, record_recipients::AllEntries);
    }
    scheduleAt(entry, tickInterval, [this, entry] { tickEntry(entry); });
}

void fleet_world::sendNext()
{
    sendRequest(m_lastRequest + 1, { std::uniform_int_distribution<std::uint64_t>(1, sharedParts)(m_random) }, std::nullopt);
    schedule(randomUpTo(2 * m_settings.requestInterval), [this] { sendNext(); });
}

void fleet_world::sendCrashing(std::size_t cause, instant until)
{
    if (now() >= until)
        return;
    const crash_cause& crashing = m_causes[cause];
    if (crashing.isPart)
        sendRequest(m_lastRequest + 1, { crashing.id }, cause);
    else
        sendRequest(crashing.id, {}, cause);
    schedule(crashingInterval, [this, cause, until] { sendCrashing(cause, until); });
}

void fleet_world::sendRequest(std::uint64_t content, std::vector<std::uint64_t> parts, std::optional<std::size_t> cause)
{
    const request_number number = ++m_lastRequest;
    request_record& record = m_requests[number];
    record.when = now();
    record.cause = cause;
    record.mayRepeat = fraction() < 0.5;
    record.deadline = now() + callerTimeout;
    caller_request caller;
    caller.host = "a.example";
    caller.path = record.mayRepeat ? "/read/x" : "/post/x";
    caller.sendId = "s" + std::to_string(number);
    caller.timeout = callerTimeout;
    caller.contentHash = content;
    caller.sharedPromptParts = std::move(parts);
    const std::size_t entry = std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random);
    scheduleAt(entry, duration::zero(), [this, entry, number, caller] { post(entry, request_arrived { now(), number, caller }); });
}

void fleet_world::post(std::size_t entry, const forwarding_event& event)
{
    if (!m_entries[entry]->reducer)
        return;
    for (const forwarding_effect& effect : m_entries[entry]->reducer->handle(event))
        carryOut(entry, effect);
}

void fleet_world::carryOut(std::size_t entry, const forwarding_effect& effect)
{
    entry_state& state = *m_entries[entry];
    if (const auto* const attempt = std::get_if<send_attempt>(&effect))
        reachEngine(entry, *attempt);
    else if (const auto* const refusal = std::get_if<refuse_request>(&effect))
        noteRefusal(refusal->request, *refusal);
    else if (const auto* const wait = std::get_if<wait_for_service>(&effect))
        scheduleAt(entry, wait->until - now(), [this, entry, number = wait->request] { post(entry, service_wait_ended { now(), number }); });
    else if (const auto* const cancelled = std::get_if<cancel_forwarded_request>(&effect))
        ++state.attempts[cancelled->request];
    else if (const auto* const line = std::get_if<log_decision>(&effect)) {
        std::string text = std::string(line->what) + " " + line->sendId;
        for (const auto& [name, value] : line->inputs)
            text.append(" ").append(name).append("=").append(value);
        trace(nameOfEntry(entry), text);
    } else if (const auto* const records = std::get_if<share_crash_records>(&effect))
        tellSome(entry, crash_records { records->records }, records->recipients);
    else if (const auto* const limits = std::get_if<share_endpoint_limits>(&effect))
        tellSome(entry, endpoint_limit_records { limits->records }, limits->recipients);
    else if (const auto* const store = std::get_if<store_crash_record>(&effect))
        writeSuspect(entry, store->record);
    else if (const auto* const removal = std::get_if<remove_stored_crash_record>(&effect))
        removeSuspect(entry, removal->key);
    else if (const auto* const ask = std::get_if<ask_permit>(&effect))
        tell(entry, numberOf(ask->owner), ask->question);
    else if (const auto* const answer = std::get_if<answer_permit>(&effect))
        tell(entry, numberOf(answer->asker), answer->answer);
    else if (const auto* const probe = std::get_if<probe_endpoint>(&effect))
        scheduleAt(entry, refusalDelay, [this, entry, probe = *probe] {
            const auto found = std::find_if(m_engines.begin(), m_engines.end(), [&](const auto& engine) { return engine->address() == probe.address; });
            post(entry, endpoint_probed { now(), probe.endpoint, !(*found)->isUp });
        });
}

void fleet_world::tell(std::size_t entry, std::size_t other, const datagram_message& message)
{
    if (now() < m_entries[entry]->cutUntil || now() < m_entries[other]->cutUntil || fraction() < m_datagramLoss)
        return;
    scheduleAt(other, datagramDelay, [this, entry, other, bytes = encodeDatagram(message)] { onDatagram(entry, other, bytes); });
}

void fleet_world::tellSome(std::size_t entry, const datagram_message& message, record_recipients recipients)
{
    std::vector<std::size_t> others = shuffledOthers(m_entries.size(), entry, m_random);
    if (recipients == record_recipients::SomeEntries)
        others.resize(std::min(others.size(), recordRecipients));
    for (const std::size_t other : others)
        tell(entry, other, message);
}

void fleet_world::onDatagram(std::size_t from, std::size_t to, const std::string& bytes)
{
    const auto message = decodeDatagram(bytes);
    if (const auto* const presence = std::get_if<entry_presence>(&*message))
        post(to, entry_presence_received { now(), *presence });
    else if (const auto* const limits = std::get_if<endpoint_limit_records>(&*message))
        post(to, endpoint_limits_told { now(), limits->records });
    else if (const auto* const crashes = std::get_if<crash_records>(&*message))
        post(to, crash_records_received { now(), crashes->records });
    else if (const auto* const question = std::get_if<permit_question>(&*message))
        post(to, permit_asked { now(), instance_id(nameOfEntry(from)), *question });
    else if (const auto* const answer = std::get_if<permit_answer>(&*message))
        post(to, permit_answered { now(), *answer });
}

void fleet_world::trace(const std::string& who, const std::string& what) const
{
    if (m_trace)
        m_trace(std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now().time_since_epoch()).count()) + " ms " + who + " " + what);
}

double fleet_world::served(duration from, duration until) const
{
    std::size_t sent = 0;
    std::size_t answered = 0;
    for (const auto& [number, record] : m_requests) {
        if (record.when < instant(from) || record.when >= instant(until) || record.cause)
            continue;
        ++sent;
        answered += record.isServed ? 1 : 0;
    }
    return sent == 0 ? 1 : static_cast<double>(answered) / static_cast<double>(sent);
}

} // namespace appleramp::tests
