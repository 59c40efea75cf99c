#include "decisions/fleet/fleet_world_state.h"

#include <algorithm>

// The engines of the world, and the checks of what reaches them.

namespace appleramp::tests {

using namespace std::chrono_literals;

namespace {

// The registry drops a silent engine, and an engine that leaves ends, that long afterwards.
constexpr duration registryExpiry = 3600ms;
constexpr duration leavingTime = 4s;
constexpr duration restartTime = 1s;
// An engine begins a request within that time, and one that dies of it is back after that time.
constexpr duration mostBeginDelay = 60ms;
constexpr duration crashedTime = 2500ms;
// Agents report the end of their engine that often.
constexpr int deathReports = 5;
constexpr duration deathReportInterval = 80ms;
constexpr duration shortestWork = 40ms;
constexpr duration workSpread = 160ms;

} // namespace

void fleet_world::reachEngine(std::size_t entry, const send_attempt& attempt)
{
    const auto found = std::find_if(m_engines.begin(), m_engines.end(), [&](const auto& engine) { return engine->address() == attempt.address; });
    const auto engine = static_cast<std::size_t>(found - m_engines.begin());
    engine_state& target = **found;
    const request_number number = attempt.request;
    const std::uint64_t current = ++m_entries[entry]->attempts[number];
    scheduleAt(entry, attempt.timeLeft, [this, entry, number, current] {
        if (m_entries[entry]->attempts[number] == current)
            post(entry, deadline_passed { now(), number, false });
    });
    if (!target.isUp)
        return end(entry, number, attempt_ending::NotSent, {}, true);
    if (target.id() != attempt.endpoint)
        return end(entry, number, attempt_ending::WrongEndpoint);
    checkArrival(entry, engine);
    request_record& record = m_requests.at(number);
    if (++record.arrivals > 1)
        checkRepeats();
    if (record.cause)
        checkCrashing(entry, *record.cause);
    if (now() < target.pausedUntil) {
        const duration left = target.pausedUntil - now();
        m_entries[entry]->pauses.try_emplace(target.start, entry_state::pause { now() + settleTime, target.pausedUntil });
        noteAnswer(entry, target);
        return end(entry, number, attempt_ending::Rejected, left);
    }
    run(entry, engine, number);
}

void fleet_world::run(std::size_t entry, std::size_t engine, request_number number)
{
    request_record& record = m_requests.at(number);
    ++record.runs;
    if (!record.mayRepeat && record.runs > 1)
        breakPromise("at most once", "request " + std::to_string(number) + " ran twice");
    if (record.isSaidNotRun)
        breakPromise("not run is true", "request " + std::to_string(number) + " runs after it was refused");
    engine_state& target = *m_engines[engine];
    ++target.running;
    if (record.cause)
        schedule(randomUpTo(mostBeginDelay), [this, engine, start = target.start, cause = *record.cause] {
            if (m_engines[engine]->start == start)
                beginCrashing(engine, cause);
        });
    const duration work = shortestWork + randomUpTo(workSpread);
    schedule(work, [this, entry, engine, start = target.start, life = m_entries[entry]->life, number, current = m_entries[entry]->attempts[number]] {
        engine_state& target = *m_engines[engine];
        const bool isGone = !target.isUp || target.start != start;
        if (!isGone)
            --target.running;
        if (m_entries[entry]->life != life || m_entries[entry]->attempts[number] != current)
            return;
        if (isGone || m_requests.at(number).cause || fraction() < m_answerLoss)
            return end(entry, number, attempt_ending::NoAnswer);
        answer(entry, engine, start, number);
    });
}

void fleet_world::end(std::size_t entry, request_number number, attempt_ending ending, std::optional<duration> retryAfter, bool isRefused)
{
    scheduleAt(entry, refusalDelay, [this, entry, number, current = m_entries[entry]->attempts[number], ending, retryAfter, isRefused] {
        if (m_entries[entry]->attempts[number] == current)
            post(entry, attempt_ended { now(), number, ending, false, retryAfter, isRefused });
    });
}

void fleet_world::answer(std::size_t entry, std::size_t engine, std::uint64_t start, request_number number)
{
    const engine_state& source = *m_engines[engine];
    const std::optional<double> limit = source.isNaming(now()) ? std::optional(source.limit) : std::nullopt;
    scheduleAt(entry, duration::zero(), [this, entry, engine, start, isLeaving = source.isLeaving, limit, number, current = m_entries[entry]->attempts[number]] {
        entry_state& state = *m_entries[entry];
        if (state.attempts[number] != current)
            return;
        if (m_engines[engine]->start == start)
            noteAnswer(entry, *m_engines[engine]);
        if (isLeaving)
            post(entry, endpoint_leaving_announced { now(), idOfStart(start) });
        if (limit)
            post(entry, endpoint_limit_stated { now(), number, request_limit { *limit } });
        else
            post(entry, endpoint_limit_stated { now(), number, no_limit {} });
        m_requests.at(number).isServed = true;
        post(entry, attempt_succeeded { now(), number });
    });
}

void fleet_world::noteAnswer(std::size_t entry, const engine_state& engine)
{
    if (engine.isLeaving)
        m_entries[entry]->toldLeaving.try_emplace(engine.start, now());
    if (!engine.isNaming(now()))
        return;
    if (instant& told = m_entries[entry]->toldLimit[engine.start]; told < engine.limitedFrom)
        told = now();
}

void fleet_world::noteRefusal(request_number number, const refuse_request& refusal)
{
    request_record& record = m_requests.at(number);
    if (!guaranteesNotExecuted(refusal.reason))
        return;
    record.isSaidNotRun = true;
    if (record.runs > 0)
        breakPromise("not run is true", "request " + std::to_string(number) + " has run, refused as " + std::string(nameOf(refusal.reason)));
}

void fleet_world::crashEngine(std::size_t engine, duration length)
{
    engine_state& target = *m_engines[engine];
    if (!target.isUp)
        return;
    target.isUp = false;
    target.running = 0;
    const endpoint_id gone = target.id();
    reportDeath(target);
    schedule(registryExpiry, [this, gone] { followStore([this, gone] { return endpoint_unlisted { now(), gone }; }); });
    schedule(length, [this, engine] { startEngine(engine, coldTime); });
}

void fleet_world::beginCrashing(std::size_t engine, std::size_t cause)
{
    if (!m_engines[engine]->isUp)
        return;
    m_causes[cause].deaths.push_back(now());
    trace(m_engines[engine]->id().str(), "dies of " + std::to_string(m_causes[cause].id));
    crashEngine(engine, crashedTime);
}

void fleet_world::reportDeath(const engine_state& engine)
{
    if (!m_settings.agentsReportDeaths)
        return;
    for (int report = 1; report <= deathReports; ++report) {
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            if (fraction() < m_datagramLoss)
                continue;
            scheduleAt(entry, report * deathReportInterval, [this, entry, address = engine.address(), start = engine.start] {
                post(entry, endpoint_death_reported { now(), address, start });
            });
        }
    }
}

void fleet_world::stopEngine(std::size_t engine, bool isListed)
{
    m_engines[engine]->isLeaving = true;
    if (isListed)
        followStore([this, record = recordOf(engine)] { return endpoint_listed { now(), record }; });
    schedule(leavingTime, [this, engine, start = m_engines[engine]->start] {
        if (m_engines[engine]->isUp && m_engines[engine]->start == start)
            crashEngine(engine, restartTime);
    });
}

void fleet_world::startEngine(std::size_t engine, duration coldFor)
{
    engine_state& target = *m_engines[engine];
    target = { .number = target.number };
    target.start = ++m_lastStart;
    target.startedAt = now();
    target.coldUntil = now() + coldFor;
    followStore([this, engine, start = target.start] {
        endpoint_record record = recordOf(engine);
        record.id = idOfStart(start);
        return endpoint_listed { now(), record };
    });
}

bool fleet_world::isInTouch(const entry_state& entry) const { return now() >= entry.disturbedUntil; }

void fleet_world::checkArrival(std::size_t entry, std::size_t engine)
{
    entry_state& state = *m_entries[entry];
    engine_state& target = *m_engines[engine];
    const auto told = state.toldLimit.find(target.start);
    const bool isTold = target.isNaming(now()) && told != state.toldLimit.end() && told->second >= target.limitedFrom && now() - told->second >= settleTime;
    target.arrivals.push_back({ now(), isTold });
    checkCold(target);
    checkLimit(target);
    const std::string who = nameOfEntry(entry) + " to " + target.id().str();
    if (const auto left = state.toldLeaving.find(target.start); left != state.toldLeaving.end() && now() - left->second > drainTime && isInTouch(state))
        breakPromise("leaving endpoints", who + " after it announced its leaving");
    if (const auto pause = state.pauses.find(target.start); pause != state.pauses.end()) {
        if (now() >= pause->second.until)
            state.pauses.erase(pause);
        else if (now() >= pause->second.from && ++pause->second.requests > mostInPause && isInTouch(state))
            breakPromise("pauses", who + " in its pause");
    }
    const auto out = m_zonesOut.find(target.zone(m_settings.zones));
    if (out != m_zonesOut.end() && now() - out->second > evacuationTime && isInTouch(state))
        breakPromise("zones out", who + " in a zone that is out");
}

void fleet_world::checkCold(const engine_state& engine)
{
    if (now() >= engine.coldUntil)
        return;
    const auto inSecond = std::count_if(engine.arrivals.begin(), engine.arrivals.end(), [this](const auto& each) { return now() - each.when < 1s; });
    if (static_cast<double>(inSecond) > mostCold)
        breakPromise("cold endpoints", std::to_string(inSecond) + " in a second at " + engine.id().str());
}

void fleet_world::checkLimit(const engine_state& engine)
{
    if (!engine.isNaming(now()) || now() - engine.limitedFrom < contactTime)
        return;
    const auto counted = std::count_if(
        engine.arrivals.begin(), engine.arrivals.end(), [this](const auto& each) { return each.isTold && now() - each.when < limitWindow; });
    if (static_cast<double>(counted) > limitFactor * engine.limit * std::chrono::duration<double>(limitWindow).count() + limitMore)
        breakPromise("limits", std::to_string(counted) + " in four seconds at " + engine.id().str() + ", which named " + std::to_string(engine.limit));
}

void fleet_world::checkCrashing(std::size_t entry, std::size_t cause)
{
    crash_cause& crashing = m_causes[cause];
    const std::size_t known = crashing.isPart ? deathsOfPart : deathsOfRequest;
    if (crashing.deaths.size() < known || now() <= crashing.deaths[known - 1] + contactTime || !isInTouch(*m_entries[entry]))
        return;
    if (++crashing.lateSends > mostLateSends)
        breakPromise(crashing.isPart ? "crashing parts" : "crashing requests",
            std::to_string(crashing.lateSends) + " late sends, " + std::to_string(crashing.deaths.size()) + " engines died, last from " + nameOfEntry(entry));
}

void fleet_world::checkRepeats()
{
    m_repeats.push_back(now());
    std::erase_if(m_repeats, [this](instant when) { return now() - when >= repeatWindow; });
    const std::size_t repeats = m_repeats.size();
    // The later a request, the higher its number.
    const auto first = std::find_if(m_requests.rbegin(), m_requests.rend(), [this](const auto& each) { return now() - each.second.when >= repeatWindow; });
    const auto requests = std::distance(m_requests.rbegin(), first);
    if (static_cast<double>(repeats) > repeatFraction * static_cast<double>(requests) + repeatsMore)
        breakPromise("repeats", std::to_string(repeats) + " in ten seconds beside " + std::to_string(requests) + " requests");
}

void fleet_world::breakPromise(const std::string& promise, const std::string& how)
{
    if (m_broken.empty())
        m_broken = promise + ": " + how + " at " + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now().time_since_epoch()).count()) + " ms";
}

} // namespace appleramp::tests
