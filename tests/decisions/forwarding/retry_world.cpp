#include "decisions/forwarding/retry_world.h"

#include <algorithm>
#include <span>
#include <string>
#include <utility>

namespace appleramp::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration tickInterval = 100ms;
constexpr duration rejectionTime = 5ms;
constexpr std::uint32_t slots = 10;
const availability_zone_id zone("a");
const service_id service("service");

std::string nameOfEntry(std::size_t entry) { return "entry-" + std::to_string(entry); }

routing_configuration configuration()
{
    route route;
    route.name = "read";
    route.host = "a.example";
    route.prefix = "/read/";
    route.kind = route_kind::Idempotent;
    route.services = { { service, 1 } };
    route.timeout = 8s;
    route.latencyTarget = 500ms;
    route.maxAttempts = 2;
    routing_configuration result;
    result.version = 1;
    result.routes = { route };
    return result;
}

// How many of these, in the order of time, are after `from` and not after `until`.
std::size_t countWithin(std::span<const instant> times, instant from, instant until)
{
    return static_cast<std::size_t>(std::upper_bound(times.begin(), times.end(), until) - std::upper_bound(times.begin(), times.end(), from));
}

} // namespace

retry_world::retry_world(retry_world_settings settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_entries(settings.entries)
{
    for (std::size_t entry = 0; entry < settings.entries; ++entry)
        startEntry(entry);
    // Callers come when the entries have run for longer than a window.
    m_events.runAfter(12s, [this] { sendNext(); });
}

retry_world::~retry_world() = default;

double retry_world::fraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

void retry_world::runUntil(duration time)
{
    while (m_events.runNext(instant(time))) { }
}

void retry_world::startEntry(std::size_t entry)
{
    entry_state& state = m_entries[entry];
    forwarding_settings settings;
    settings.zone = zone;
    settings.instance = nameOfEntry(entry);
    settings.seed = m_random();
    settings.retryBudget = { .requestFraction = allowedFraction, .baseRetries = allowedMore, .window = window };
    state.reducer = std::make_unique<forwarding_reducer>(now(), settings);
    ++state.life;
    std::vector<std::string> names;
    for (std::size_t other = 0; other < m_entries.size(); ++other)
        names.push_back(nameOfEntry(other));
    std::vector<endpoint_record> records;
    for (std::size_t endpoint = 0; endpoint < m_settings.endpoints; ++endpoint) {
        const std::string number = std::to_string(endpoint);
        records.push_back({ endpoint_id("i-" + number), service, "10.0.0." + number + ":80", zone, slots, false, {}, endpoint + 1 });
    }
    post(entry, entry_count_read { now(), m_entries.size(), m_entries.size() - 1, entry, names });
    post(entry, configuration_read { now(), now(), configuration() });
    post(entry, registry_read { now(), records });
    post(entry, crash_table_read { now(), true, {}, {} });
    tickEntry(entry, state.life);
}

void retry_world::restartEntry(std::size_t entry) { startEntry(entry); }

void retry_world::restartAllEntries()
{
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry)
        startEntry(entry);
}

void retry_world::tickEntry(std::size_t entry, std::uint64_t life)
{
    if (m_entries[entry].life != life)
        return;
    post(entry, configuration_read { now(), now(), std::nullopt });
    post(entry, timer_ticked { now() });
    m_events.runAfter(tickInterval, [this, entry, life] { tickEntry(entry, life); });
}

void retry_world::sendNext()
{
    const std::size_t entry = std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random);
    const request_number number = ++m_lastRequest;
    m_requests.push_back(now());
    m_attempts.push_back(0);
    caller_request caller;
    caller.host = "a.example";
    caller.path = "/read/x";
    caller.sendId = "s" + std::to_string(number);
    caller.timeout = 8s;
    caller.contentHash = number;
    post(entry, request_arrived { now(), number, caller });
    const double seconds = std::exponential_distribution<double>(m_settings.requestsPerSecond)(m_random);
    m_events.runAfter(std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds)), [this] { sendNext(); });
}

void retry_world::post(std::size_t entry, const forwarding_event& event)
{
    for (const forwarding_effect& effect : m_entries[entry].reducer->handle(event))
        carryOut(entry, effect);
}

void retry_world::carryOut(std::size_t entry, const forwarding_effect& effect)
{
    if (const auto* const attempt = std::get_if<send_attempt>(&effect))
        reachEndpoint(entry, *attempt);
    else if (const auto* const wait = std::get_if<wait_for_service>(&effect))
        later(entry, wait->until - now(), [this, entry, number = wait->request] { post(entry, service_wait_ended { now(), number }); });
}

void retry_world::reachEndpoint(std::size_t entry, const send_attempt& attempt)
{
    if (++m_attempts[attempt.request - 1] > 1)
        m_retries.push_back(now());
    if (m_isRejecting)
        return later(entry, rejectionTime, [this, entry, number = attempt.request] { post(entry, attempt_ended { now(), number, attempt_ending::Rejected }); });
    const bool isLost = fraction() < m_settings.lossFraction;
    later(entry, m_settings.answerTime, [this, entry, isLost, number = attempt.request] {
        if (isLost)
            post(entry, attempt_ended { now(), number, attempt_ending::FailureAnswer });
        else
            post(entry, attempt_succeeded { now(), number });
    });
}

void retry_world::later(std::size_t entry, duration wait, std::function<void()> action)
{
    m_events.runAfter(wait, [this, entry, life = m_entries[entry].life, action = std::move(action)] {
        if (m_entries[entry].life == life)
            action();
    });
}

double retry_world::useOfWindowUntil(instant end) const
{
    std::size_t requests = 0;
    // The rule takes the most requests of this window, the one before it, and the one half a window before it.
    for (const duration earlier : { duration::zero(), window / 2, window })
        requests = std::max(requests, countWithin(m_requests, end - earlier - window, end - earlier));
    return static_cast<double>(countWithin(m_retries, end - window, end)) / (allowedFraction * static_cast<double>(requests) + allowedMore);
}

double retry_world::worstWindow() const
{
    double worst = 0;
    for (const instant retry : m_retries)
        worst = std::max({ worst, useOfWindowUntil(retry), useOfWindowUntil(retry + window - duration(1)) });
    return worst;
}

} // namespace appleramp::tests
