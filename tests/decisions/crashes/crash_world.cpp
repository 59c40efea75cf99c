#include "decisions/crashes/crash_world_state.h"

#include "fakes/other_entries.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace appleramp::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration tickInterval = 100ms;
constexpr duration presenceInterval = 700ms;
constexpr duration callerTimeout = 8s;
constexpr duration storeRetry = 800ms;
// Entries that are told the records of suspects in each round.
constexpr std::size_t recordRecipients = 3;
constexpr std::uint32_t slots = 12;
const service_id model("model");
const availability_zone_id zone("a");

routing_configuration configuration(bool hasExperts)
{
    route route;
    route.name = "draft";
    route.host = "a.example";
    route.prefix = "/draft/";
    route.kind = route_kind::Stream;
    route.resumable = true;
    route.services = { { model, 1 } };
    route.timeout = callerTimeout;
    route.latencyTarget = 500ms;
    route.maxAttempts = 2;
    routing_configuration result;
    result.version = 1;
    result.routes = { route };
    service_description service;
    service.id = model;
    if (hasExperts)
        service.experts = expert_layout { .sets = 2, .expertsPerSet = 8, .placesPerRank = 5 };
    result.services = { service };
    return result;
}

} // namespace

crash_world::crash_world(crash_world_settings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_events(instant(1s))
{
    for (std::size_t engine = 0; engine < settings.engines; ++engine) {
        auto state = std::make_unique<engine_state>();
        state->address = "10.0.0." + std::to_string(engine + 1) + ":80";
        state->id = endpoint_id("i-" + std::to_string(++m_lastEngineId));
        state->startedAtMs = m_lastEngineId;
        m_engines.push_back(std::move(state));
    }
    for (std::size_t entry = 0; entry < settings.entries; ++entry)
        m_entries.push_back(std::make_unique<entry_state>());
    for (std::size_t entry = 0; entry < settings.entries; ++entry)
        startEntry(entry);
}

crash_world::~crash_world() = default;

double crash_world::fraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

void crash_world::runUntil(duration time)
{
    while (m_events.runNext(instant(time))) { }
}

void crash_world::sendEvery(duration interval, duration from, duration until, const std::function<simulated_request()>& make)
{
    for (duration time = from; time < until; time += interval)
        at(time, [this, make] { send(std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random), make()); });
}

void crash_world::send(std::size_t entry, const simulated_request& request)
{
    const request_number number = ++m_lastRequest;
    m_entries[entry]->requests[number] = request;
    if (!request.crashesEngines)
        m_sound[number].sentAt = now();
    caller_request caller;
    caller.host = "a.example";
    caller.path = "/draft/x";
    caller.sendId = "s" + std::to_string(number);
    caller.timeout = callerTimeout;
    caller.contentHash = request.content;
    caller.sharedPromptParts = request.parts;
    post(entry, request_arrived { now(), number, caller });
}

std::vector<endpoint_record> crash_world::registry() const
{
    std::vector<endpoint_record> records;
    for (const auto& engine : m_engines) {
        if (engine->listed)
            records.push_back({ engine->id, model, engine->address, zone, slots, false, {}, engine->startedAtMs });
    }
    return records;
}

void crash_world::startEntry(std::size_t entry)
{
    entry_state& state = *m_entries[entry];
    forwarding_settings settings;
    settings.zone = zone;
    settings.seed = m_random();
    settings.retryBudget = { .requestFraction = 0.2, .baseRetries = 92, .window = 10s };
    state.reducer = std::make_unique<forwarding_reducer>(now(), settings);
    ++state.life;
    post(entry, entry_count_read { now(), m_entries.size(), m_entries.size() - 1, entry });
    post(entry, configuration_read { now(), now(), configuration(m_settings.hasExperts) });
    post(entry, registry_read { now(), registry() });
    readRecords(entry);
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
        if (other != entry && m_entries[other]->reducer)
            tell(other, entry, crash_records_received { now(), m_entries[other]->reducer->recordsForStartingEntry(now()) });
    }
    tickEntry(entry, state.life);
}

void crash_world::stopEntry(std::size_t entry)
{
    entry_state& state = *m_entries[entry];
    state.reducer.reset();
    ++state.life;
    state.requests.clear();
    state.runs.clear();
    state.disturbedUntil = now() + contactTime;
    std::erase_if(m_runs, [entry](const auto& each) { return each.second.entry == entry; });
}

void crash_world::restartEntry(std::size_t entry)
{
    stopEntry(entry);
    startEntry(entry);
}

void crash_world::restartAllEntries()
{
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
        stopEntry(entry);
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
        startEntry(entry);
}

void crash_world::cutEntry(std::size_t entry, duration length) { m_entries[entry]->cutUntil = now() + length; }

void crash_world::tickEntry(std::size_t entry, std::uint64_t life)
{
    entry_state& state = *m_entries[entry];
    if (state.life != life)
        return;
    post(entry, configuration_read { now(), now(), std::nullopt });
    post(entry, timer_ticked { now() });
    if (now() - state.presenceToldAt >= presenceInterval) {
        state.presenceToldAt = now();
        const std::string name = "entry-" + std::to_string(entry);
        tellOthers(entry, entry_presence_received { now(), { instance_id(name), zone, name, true, 1 } });
    }
    schedule(tickInterval, [this, entry, life] { tickEntry(entry, life); });
}

bool crash_world::isInTouch(std::size_t entry) const
{
    return now() >= m_entries[entry]->disturbedUntil;
}

bool crash_world::arePeersCut(std::size_t from, std::size_t to) const
{
    return now() < m_entries[from]->cutUntil || now() < m_entries[to]->cutUntil;
}

void crash_world::tell(std::size_t entry, std::size_t other, const forwarding_event& event)
{
    if (arePeersCut(entry, other) || fraction() < m_settings.datagramLoss)
        return;
    schedule(m_settings.datagramDelay, [this, other, event] {
        forwarding_event arrived = event;
        std::visit([this](auto& concrete) {
            if constexpr (requires { concrete.now; })
                concrete.now = now();
        },
            arrived);
        post(other, arrived);
    });
}

void crash_world::tellOthers(std::size_t entry, const forwarding_event& event)
{
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
        if (other != entry)
            tell(entry, other, event);
    }
}

void crash_world::shareRecords(std::size_t entry, const share_crash_records& effect)
{
    const crash_records_received event { now(), effect.records };
    if (effect.recipients == record_recipients::AllEntries)
        return tellOthers(entry, event);
    const std::vector<std::size_t> others = shuffledOthers(m_entries.size(), entry, m_random);
    for (std::size_t number = 0; number < std::min(recordRecipients, others.size()); ++number)
        tell(entry, others[number], event);
}

void crash_world::writeRecord(std::size_t entry, const crash_record& record)
{
    if (now() < m_storeBackAt)
        return schedule(storeRetry, [this, entry, record] { writeRecord(entry, record); });
    m_stored[record.key] = record;
    schedule(m_settings.feedDelay, [this, record] {
        for (std::size_t other = 0; other < m_entries.size(); ++other)
            post(other, crash_table_read { now(), false, { record }, {} });
    });
}

void crash_world::removeRecord(const suspect_key& key)
{
    if (now() < m_storeBackAt)
        return schedule(storeRetry, [this, key] { removeRecord(key); });
    m_stored.erase(key);
    schedule(m_settings.feedDelay, [this, key] {
        for (std::size_t other = 0; other < m_entries.size(); ++other)
            post(other, crash_table_read { now(), false, {}, { key } });
    });
}

void crash_world::readRecords(std::size_t entry)
{
    schedule(m_settings.storeDelay, [this, entry, life = m_entries[entry]->life] {
        if (m_entries[entry]->life != life)
            return;
        if (now() < m_storeBackAt)
            return schedule(storeRetry, [this, entry] { readRecords(entry); });
        crash_table_read read { now(), true, {}, {} };
        for (const auto& [key, record] : m_stored)
            read.records.push_back(record);
        post(entry, read);
    });
}

void crash_world::post(std::size_t entry, const forwarding_event& event)
{
    if (!m_entries[entry]->reducer)
        return;
    for (const forwarding_effect& effect : m_entries[entry]->reducer->handle(event))
        carryOut(entry, effect);
}

void crash_world::carryOut(std::size_t entry, const forwarding_effect& effect)
{
    entry_state& state = *m_entries[entry];
    if (const auto* const attempt = std::get_if<send_attempt>(&effect))
        reachEngine(entry, *attempt);
    else if (const auto* const refusal = std::get_if<refuse_request>(&effect)) {
        const bool isConvicted = refusal->reason == refusal_reason::BreaksEndpoints;
        m_soundConvicted += isConvicted && m_sound.contains(refusal->request) ? 1 : 0;
        state.requests.erase(refusal->request);
    } else if (const auto* const wait = std::get_if<wait_for_service>(&effect))
        schedule(wait->until - now(), [this, entry, life = state.life, number = wait->request] {
            if (m_entries[entry]->life == life)
                post(entry, service_wait_ended { now(), number });
        });
    else if (const auto* const cancelled = std::get_if<cancel_forwarded_request>(&effect)) {
        m_runs.erase(state.runs[cancelled->request]);
        state.runs.erase(cancelled->request);
    } else if (const auto* const aborted = std::get_if<abort_answer>(&effect))
        state.requests.erase(aborted->request);
    else if (const auto* const share = std::get_if<share_crash_records>(&effect))
        shareRecords(entry, *share);
    else if (const auto* const store = std::get_if<store_crash_record>(&effect))
        writeRecord(entry, store->record);
    else if (const auto* const removal = std::get_if<remove_stored_crash_record>(&effect))
        removeRecord(removal->key);
    else if (const auto* const probe = std::get_if<probe_endpoint>(&effect))
        schedule(1ms, [this, entry, probe = *probe] {
            const auto found = std::find_if(m_engines.begin(), m_engines.end(), [&](const auto& engine) { return engine->address == probe.address; });
            post(entry, endpoint_probed { now(), probe.endpoint, found != m_engines.end() && !(*found)->up });
        });
}

std::size_t crash_world::lateSends(std::size_t death) const
{
    if (m_crashes.size() < death)
        return 0;
    const instant bound = m_crashes[death - 1] + contactTime;
    return static_cast<std::size_t>(std::count_if(m_crashingSends.begin(), m_crashingSends.end(),
        [bound](const crashing_send& send) { return send.entryInTouch && send.when > bound; }));
}

double crash_world::soundBegun(duration from, duration until) const
{
    std::size_t sent = 0;
    std::size_t begun = 0;
    for (const auto& [number, outcome] : m_sound) {
        if (outcome.sentAt < instant(from) || outcome.sentAt >= instant(until))
            continue;
        ++sent;
        begun += outcome.begunAtFirstAttempt ? 1 : 0;
    }
    return sent == 0 ? 1 : static_cast<double>(begun) / static_cast<double>(sent);
}

} // namespace appleramp::tests
