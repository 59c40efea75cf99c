#include "decisions/workload/work_world.h"

#include "decisions/forwarding/endpoint_subset.h"
#include "decisions/workload/work_world_state.h"

#include <algorithm>
#include <cmath>

using namespace std::chrono_literals;

namespace appleramp::tests {

namespace {

const service_id model("drafts");
constexpr double meanPromptTokens = 1000;
constexpr std::uint32_t maxPromptTokens = 30'000;
constexpr duration sampleInterval = 100ms;
constexpr duration callerTimeout = 8s;
constexpr duration connectTimeout = 700ms;
constexpr duration silenceReportInterval = std::chrono::milliseconds(200);
constexpr duration networkDelay = 1ms;

availability_zone_id zoneName(std::size_t zone) { return availability_zone_id("z" + std::to_string(zone)); }
std::string entryName(std::size_t entry) { return "entry-" + std::to_string(entry); }

routing_configuration configuration()
{
    route drafts;
    drafts.name = "drafts";
    drafts.host = "a.example";
    drafts.prefix = "/draft/";
    drafts.kind = route_kind::Stream;
    drafts.resumable = true;
    drafts.services = { { model, 1 } };
    drafts.timeout = callerTimeout;
    drafts.latencyTarget = work_world::latencyTarget;
    drafts.pauseTarget = work_world::pauseTarget;
    drafts.maxAttempts = 2;
    drafts.isPublic = true;
    routing_configuration result;
    result.version = 1;
    result.routes = { drafts };
    result.services = { { .id = model, .engine = work_world::speed() } };
    return result;
}

} // namespace

engine_speed work_world::speed()
{
    return { .step = 4840us, .stepPerRequest = 600us, .promptTokensPerSecond = 74'800, .chunkTokens = 256, .stepsPerPass = 7, .contextMillisecondsPerThousand = 0.02, .pairMillisecondsPerMillion = 0.1, .memoryTokens = 411'666, .usualPromptTokens = 1000, .usualAnswerTokens = events * 7 };
}

work_world::work_world(work_world_settings settings)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_events(instant(10s))
    , m_reducers(m_settings.entries)
    , m_lives(m_settings.entries)
    , m_subsets(m_settings.entries)
    , m_demand([](std::size_t, duration) { return 1.0; })
    , m_utilization(m_settings.engines.size())
    , m_refusals(m_settings.engines.size())
{
    std::vector<std::vector<std::size_t>> groups(1);
    for (std::size_t zone = 0; zone < m_settings.engines.size(); ++zone) {
        for (std::size_t number = 0; number < m_settings.engines[zone]; ++number) {
            m_engines.push_back(std::make_unique<engine_state>());
            m_engines.back()->number = m_engines.size() - 1;
            m_engines.back()->zone = zone;
            if (!m_settings.isGroup)
                groups.emplace_back();
            groups.back().push_back(m_engines.size() - 1);
        }
    }
    for (std::size_t entry = 0; entry < m_settings.entries; ++entry)
        startEntry(entry);
    for (const auto& group : groups)
        m_events.runAfter(1ms, [this, group] { beginPass(group); });
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine)
        m_events.runAfter(duration(static_cast<duration::rep>(fraction() * 1e5)), [this, engine] { report(engine); });
    const work_model costs(speed());
    // Some rank of a group reads a full chunk in nearly each step, and a request waits two passes for its first event.
    const double chunkSeconds = speed().chunkTokens * speed().stepsPerPass / speed().promptTokensPerSecond;
    const double passSeconds = std::chrono::duration<double>(costs.passTime(m_settings.slots, m_settings.slots * 1200.0, 1)).count() + chunkSeconds;
    const double slotSeconds = (events + 2) * passSeconds;
    m_ratePerZone = m_settings.utilization * static_cast<double>(m_engines.size() * m_settings.slots) / slotSeconds / static_cast<double>(m_settings.engines.size());
    for (std::size_t zone = 0; zone < m_settings.engines.size(); ++zone)
        m_events.runAfter(500ms, [this, zone] { arrive(zone); });
    m_events.runAfter(sampleInterval, [this] { tick(); });
}

work_world::~work_world() = default;

endpoint_record work_world::record(std::size_t engine) const
{
    return { endpoint_id("e" + std::to_string(engine)), model, "10.0.0.1:" + std::to_string(1000 + engine), zoneName(m_engines[engine]->zone), m_settings.slots, false, {} };
}

void work_world::startEntry(std::size_t entry)
{
    forwarding_settings settings;
    settings.zone = zoneName(entryZone(entry));
    settings.instance = entryName(entry);
    settings.seed = m_settings.seed * 1000 + entry;
    settings.placeByWork = m_settings.placeByWork;
    settings.fleet.workSampleSize = m_settings.workSampleSize;
    settings.retryBudget.baseRetries = 390;
    ++m_lives[entry];
    for (auto& [number, held] : m_attempts)
        held->isOver = held->isOver || held->entry == entry;
    m_reducers[entry] = std::make_unique<forwarding_reducer>(now(), settings);
    post(entry, entry_count_read { now(), m_settings.entries, m_settings.entries - 1, entry, {} });
    post(entry, configuration_read { now(), now(), configuration() });
    post(entry, crash_table_read { now(), true, {}, {} });
    std::vector<endpoint_record> records;
    for (const auto& engine : m_engines) {
        if (engine->isAlive)
            records.push_back(record(engine->number));
    }
    post(entry, registry_read { now(), records });
    subscribe(entry);
}

void work_world::subscribe(std::size_t entry)
{
    std::vector<reporting_endpoint> reporting;
    std::set<std::string> addresses;
    for (const auto& engine : m_engines) {
        if (!engine->isAlive)
            continue;
        reporting.push_back({ record(engine->number).address, zoneName(engine->zone) });
        addresses.insert(record(engine->number).address);
    }
    m_subsets[entry] = chooseSubset(entryName(entry), zoneName(entryZone(entry)), m_settings.entries, reporting, {});
    post(entry, load_subset_changed { now(), addresses, m_subsets[entry] });
}

void work_world::removeEngine(std::size_t number)
{
    engine_state& engine = *m_engines[number];
    engine.isAlive = false;
    for (auto* const held : { &engine.running, &engine.waiting }) {
        for (const auto& attempt : std::exchange(*held, {}))
            end(attempt, attempt_ending::NoAnswer);
    }
    for (std::size_t entry = 0; entry < m_reducers.size(); ++entry) {
        post(entry, endpoint_unlisted { now(), record(number).id });
        subscribe(entry);
    }
}

void work_world::runUntil(duration time)
{
    while (m_events.runNext(instant(time))) { }
}

void work_world::arrive(std::size_t zone)
{
    const double rate = m_ratePerZone * m_demand(zone, now().time_since_epoch());
    m_events.runAfter(duration(static_cast<duration::rep>(-std::log(1 - fraction()) / rate * 1e6) + 1), [this, zone] { arrive(zone); });
    const std::size_t zones = m_settings.engines.size();
    const std::size_t inZone = (m_settings.entries + zones - 1 - zone) / zones;
    const std::size_t entry = zone + zones * std::min(static_cast<std::size_t>(fraction() * static_cast<double>(inZone)), inZone - 1);
    const double spread = m_settings.promptSpread;
    const double tokens = std::lognormal_distribution<double>(std::log(meanPromptTokens) - spread * spread / 2, spread)(m_random);
    caller_request caller;
    caller.host = "a.example";
    caller.path = "/draft/x";
    caller.sendId = "s" + std::to_string(++m_lastRequest);
    caller.timeout = callerTimeout;
    caller.contentHash = m_lastRequest;
    caller.promptTokens = std::min(static_cast<std::uint32_t>(tokens) + 1, maxPromptTokens);
    caller.answerTokens = events * 7 * 4;
    const double wrong = m_settings.hintFactor > 1 && fraction() < 0.5 ? 1 / m_settings.hintFactor : m_settings.hintFactor;
    caller.expectedAnswerTokens = static_cast<std::uint32_t>(events * 7 * wrong);
    m_outcomes[m_lastRequest] = { .arrivedAt = now(), .zone = zone, .entry = entry, .promptTokens = caller.promptTokens };
    const std::uint64_t number = m_lastRequest;
    const std::uint64_t life = m_lives[entry];
    m_events.runAfter(callerTimeout, [this, entry, number, life] {
        const auto held = m_attempts.find(number);
        const bool isOpen = !m_outcomes[number].isServed && !m_outcomes[number].isRefused && m_lives[entry] == life;
        if (isOpen)
            post(entry, deadline_passed { now(), number, held != m_attempts.end() && held->second->hasBegun });
    });
    post(entry, request_arrived { now(), number, caller });
}

void work_world::post(std::size_t entry, const forwarding_event& event)
{
    for (const forwarding_effect& effect : m_reducers[entry]->handle(event))
        carryOut(entry, effect);
}

void work_world::carryOut(std::size_t entry, const forwarding_effect& effect)
{
    if (const auto* const sending = std::get_if<send_attempt>(&effect))
        return send(entry, *sending);
    if (const auto* const refusal = std::get_if<refuse_request>(&effect)) {
        request_outcome& outcome = m_outcomes[refusal->request];
        outcome.isRefused = true;
        m_refusals[outcome.zone].resize(m_utilization[0].size() + 1);
        ++m_refusals[outcome.zone].back();
    } else if (const auto* const wait = std::get_if<wait_for_service>(&effect)) {
        m_events.runAt(wait->until, [this, entry, number = wait->request, life = m_lives[entry]] {
            if (m_lives[entry] == life)
                post(entry, service_wait_ended { now(), number });
        });
    } else if (const auto* const cancelled = std::get_if<cancel_forwarded_request>(&effect)) {
        if (const auto held = m_attempts.find(cancelled->request); held != m_attempts.end())
            held->second->isOver = true;
    } else if (const auto* const line = std::get_if<log_decision>(&effect)) {
        const bool isState = line->what.starts_with("zone_shares") || line->what.starts_with("outlier");
        if (isState) {
            std::string text = std::to_string(now().time_since_epoch().count() / 1000) + " " + entryName(entry) + " " + std::string(line->what);
            for (const auto& [name, value] : line->inputs)
                text.append(" ").append(name).append("=").append(value);
            m_log.push_back(text);
        }
    }
}

void work_world::send(std::size_t entry, const send_attempt& effect)
{
    const auto sent = std::make_shared<attempt>();
    request_outcome& outcome = m_outcomes[effect.request];
    sent->number = effect.request;
    sent->entry = entry;
    sent->engine = std::stoul(effect.endpoint.str().substr(1));
    sent->unreadTokens = outcome.promptTokens;
    sent->contextTokens = outcome.promptTokens;
    sent->eventsLeft = events;
    engine_state& engine = *m_engines[sent->engine];
    ++outcome.sends;
    outcome.sendsElsewhere += engine.zone != entryZone(entry) ? 1 : 0;
    if (const auto former = m_attempts.find(effect.request); former != m_attempts.end())
        former->second->isOver = true;
    m_attempts[effect.request] = sent;
    const auto cut = m_cuts.find(entry);
    if (cut != m_cuts.end() && cut->second == engine.zone)
        return m_events.runAfter(connectTimeout, [this, sent] { end(sent, attempt_ending::NotSent); });
    if (effect.answerStartTimeout > duration::zero())
        m_events.runAfter(effect.answerStartTimeout, [this, sent] { reportSilence(sent); });
    m_events.runAfter(networkDelay, [this, sent] { reach(sent); });
}

void work_world::end(const std::shared_ptr<attempt>& ended, attempt_ending ending)
{
    if (std::exchange(ended->isOver, true))
        return;
    post(ended->entry, attempt_ended { now(), ended->number, ending, ended->hasBegun, {} });
}

// As the entry's process, which reports a silence again while it lasts.
void work_world::reportSilence(const std::shared_ptr<attempt>& sent)
{
    if (sent->hasBegun || sent->isOver)
        return;
    m_events.runAfter(silenceReportInterval, [this, sent] { reportSilence(sent); });
    post(sent->entry, attempt_silent { now(), sent->number, false });
}

void work_world::tick()
{
    m_events.runAfter(sampleInterval, [this] { tick(); });
    std::vector<double> taken(m_settings.engines.size());
    std::vector<double> slots(m_settings.engines.size());
    for (const auto& engine : m_engines) {
        if (!engine->isAlive)
            continue;
        taken[engine->zone] += static_cast<double>(engine->running.size());
        slots[engine->zone] += m_settings.slots;
    }
    for (std::size_t zone = 0; zone < taken.size(); ++zone)
        m_utilization[zone].push_back(taken[zone] / std::max(slots[zone], 1.0));
    for (std::size_t entry = 0; entry < m_reducers.size(); ++entry)
        post(entry, timer_ticked { now() });
}

duration work_world::longestNeedlessRefusal() const
{
    std::size_t longest = 0;
    for (std::size_t zone = 0; zone < m_refusals.size(); ++zone) {
        std::size_t length = 0;
        for (std::size_t sample = 0; sample < m_refusals[zone].size() && sample < m_utilization[0].size(); ++sample) {
            bool isElsewhereFree = false;
            for (std::size_t other = 0; other < m_utilization.size(); ++other)
                isElsewhereFree = isElsewhereFree || (other != zone && m_utilization[other][sample] < 0.9);
            length = isElsewhereFree && m_refusals[zone][sample] > 0 ? length + 1 : 0;
            longest = std::max(longest, length);
        }
    }
    return sampleInterval * static_cast<duration::rep>(longest);
}

double work_world::fractionElsewhere(duration from, duration until) const
{
    double sends = 0;
    double elsewhere = 0;
    for (const auto& [number, outcome] : m_outcomes) {
        if (outcome.arrivedAt < instant(from) || outcome.arrivedAt >= instant(until))
            continue;
        sends += static_cast<double>(outcome.sends);
        elsewhere += static_cast<double>(outcome.sendsElsewhere);
    }
    return sends > 0 ? elsewhere / sends : 0;
}

duration quantile(std::vector<duration> times, double fraction)
{
    if (times.empty())
        return {};
    const auto index = std::min(static_cast<std::size_t>(fraction * static_cast<double>(times.size())), times.size() - 1);
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(index), times.end());
    return times[index];
}

} // namespace appleramp::tests
