#include "zone_run.h"

#include "appleramp_fleet.h"
#include "baseline_fleet.h"
#include "one_queue_fleet.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <random>

namespace appleramp::zones {

namespace {

// Capacity that is back cold is not counted as capacity for so long.
constexpr duration warmUpAllowance = std::chrono::seconds(30);
constexpr duration recoveryWindow = std::chrono::seconds(5);
constexpr double fullService = 0.99;
// Two teams send half of the load.
constexpr std::size_t largeTeams = 2;
constexpr double largeShare = 0.5;

double secondsOf(duration time) { return std::chrono::duration<double>(time).count(); }

// Sends requests at random times, seeded, at the offered rate.
template <typename Fleet>
class load_source {
public:
    load_source(virtual_time& time, const scenario& scenario, Fleet& fleet, run_log& log)
        : m_time(time)
        , m_scenario(scenario)
        , m_fleet(fleet)
        , m_log(log)
        , m_generator(scenario.seed)
    {
    }

    void sendNext()
    {
        const auto gap = -std::log1p(-unit()) / m_scenario.offered();
        m_time.after(duration(static_cast<std::int64_t>(gap * 1e6)), [this] {
            const auto team = chooseTeam();
            m_log.callers.push_back({ m_time.now(), team });
            m_fleet.send(m_log.callers.size() - 1, team, m_generator() >> 16U);
            sendNext();
        });
    }

private:
    double unit() { return static_cast<double>(m_generator() >> 11U) / 9007199254740992.0; }

    std::size_t chooseTeam()
    {
        const auto teams = m_scenario.fleet.teams;
        if (unit() < largeShare)
            return m_generator() % largeTeams;
        return largeTeams + m_generator() % (teams - largeTeams);
    }

    virtual_time& m_time;
    const scenario& m_scenario;
    Fleet& m_fleet;
    run_log& m_log;
    std::mt19937_64 m_generator;
};

template <typename Fleet>
void play(virtual_time& time, const scenario& scenario, Fleet& fleet, run_log& log)
{
    load_source source(time, scenario, fleet, log);
    time.runUntil(time.now() + std::chrono::seconds(5));
    source.sendNext();
    time.runUntil(time.now() + scenario.warmUp);
    log.began = time.now();
    time.runUntil(time.now() + std::chrono::seconds(30));
    log.taken = time.now();
    fleet.takeZone(true);
    time.runUntil(time.now() + scenario.outage - std::chrono::seconds(60));
    fleet.rebootZone();
    time.runUntil(time.now() + std::chrono::seconds(60));
    log.returned = time.now();
    fleet.takeZone(false);
    time.runUntil(time.now() + scenario.afterReturn);
    log.ended = time.now();
    time.runUntil(time.now() + callerTimeout);
    log.coldOverloads = fleet.coldOverloads();
}

bool isOnTime(const caller_record& record)
{
    return record.answered && record.firstToken - record.sent <= firstTokenBound;
}

// Answers that a fleet could give on time of those that were sent between two times.
double possible(const scenario& scenario, const run_log& log, instant from, instant to, bool zoneIsOut)
{
    const auto sent = std::count_if(log.callers.begin(), log.callers.end(),
        [&](const auto& record) { return record.sent >= from && record.sent < to; });
    return std::min(static_cast<double>(sent), scenario.capacity(zoneIsOut) * secondsOf(to - from));
}

double onTimeShare(const scenario& scenario, const run_log& log)
{
    const auto warm = log.returned + warmUpAllowance;
    const auto bound = possible(scenario, log, log.began, log.taken, false)
        + possible(scenario, log, log.taken, warm, true) + possible(scenario, log, warm, log.ended, false);
    const auto served = std::count_if(log.callers.begin(), log.callers.end(), [&](const auto& record) {
        return record.sent >= log.began && record.sent < log.ended && isOnTime(record);
    });
    return static_cast<double>(served) / bound;
}

template <typename Number>
double percentile(std::vector<Number> values, double share)
{
    if (values.empty())
        return 0;
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(values.size() - 1) * share);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

double firstTokenP95(const run_log& log)
{
    std::vector<double> times;
    for (const auto& record : log.callers) {
        if (record.sent >= log.began && record.firstToken != instant {})
            times.push_back(secondsOf(record.firstToken - record.sent));
    }
    return percentile(std::move(times), 0.95);
}

// Seconds after the return until a window's requests are served in full; the whole time if none is.
double recovery(const scenario& scenario, const run_log& log)
{
    for (auto from = log.returned; from + recoveryWindow <= log.ended; from += std::chrono::seconds(1)) {
        std::size_t sent = 0;
        std::size_t served = 0;
        for (const auto& record : log.callers) {
            if (record.sent < from || record.sent >= from + recoveryWindow)
                continue;
            ++sent;
            served += isOnTime(record) ? 1 : 0;
        }
        const auto bound = std::min(static_cast<double>(sent), scenario.capacity(false) * secondsOf(recoveryWindow));
        if (static_cast<double>(served) >= fullService * bound)
            return secondsOf(from - log.returned);
    }
    return secondsOf(log.ended - log.returned);
}

// Requests of the outage that were refused, and that were answered late.
std::pair<std::size_t, std::size_t> missed(const run_log& log)
{
    std::size_t refused = 0;
    std::size_t late = 0;
    for (const auto& record : log.callers) {
        if (record.sent < log.taken || record.sent >= log.returned)
            continue;
        refused += record.answered ? 0 : 1;
        late += record.answered && !isOnTime(record) ? 1 : 0;
    }
    return { refused, late };
}

double attemptsPerRequest(const run_log& log)
{
    std::size_t started = 0;
    for (const auto& record : log.callers)
        started += record.attempts > 0 ? 1 : 0;
    return started == 0 ? 0 : static_cast<double>(log.attempts) / static_cast<double>(started);
}

} // namespace

run_log runScenario(const scenario& scenario, policy policy)
{
    run_log log;
    virtual_time time;
    if (policy == policy::Appleramp) {
        appleramp_fleet fleet(time, scenario, log);
        play(time, scenario, fleet, log);
        return log;
    }
    if (policy == policy::OneQueue) {
        one_queue_fleet fleet(time, scenario, log);
        play(time, scenario, fleet, log);
        return log;
    }
    const auto rule
        = policy == policy::RoundRobin ? baseline_policy::RoundRobin : baseline_policy::LeastOutstanding;
    baseline_fleet fleet(time, scenario, rule, log);
    play(time, scenario, fleet, log);
    return log;
}

nlohmann::json figuresOf(const scenario& scenario, const run_log& log)
{
    return { { "on_time_share", onTimeShare(scenario, log) }, { "first_token_p95_s", firstTokenP95(log) },
        { "between_tokens_p95_ms", percentile(log.betweenTokensMs, 0.95) }, { "cold_overloads", log.coldOverloads },
        { "late_zone_work", log.lateZoneWork }, { "attempts_per_request", attemptsPerRequest(log) },
        { "recovery_s", recovery(scenario, log) }, { "requests", log.callers.size() },
        { "refused_in_outage", missed(log).first }, { "late_in_outage", missed(log).second } };
}

} // namespace appleramp::zones
