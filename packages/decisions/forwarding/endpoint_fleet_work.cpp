#include "decisions/forwarding/endpoint_fleet.h"

#include "decisions/workload/placement_draw.h"
#include "model/seconds.h"

#include <algorithm>
#include <cmath>
#include <random>

// The part of the fleet that places requests by their expected work.

namespace appleramp {

namespace {

// Time by which an endpoint in another zone must be better, since bytes between zones cost: at least, and for each thousand tokens of
// the request, which are some kilobytes.
constexpr double crossZoneSeconds = 0.03;
constexpr double crossZoneSecondsPerThousandTokens = 0.01;
// Time by which a retry must be faster in a zone where the request has just found an endpoint out of reach.
constexpr double unreachableZoneSeconds = 0.5;
// Interval at which the expected times of the zones are compared.
constexpr duration zoneComparisonInterval = std::chrono::milliseconds(100);
// Cost of a failure rate of 1 beyond the tolerated one.
constexpr double failureSeconds = 6.0;
constexpr double toleratedFailureRate = 0.05;
// Typical age of a report when it arrives: agents read an engine each 80 ms, and send what they read up to 120 ms later.
constexpr duration reportDelay = std::chrono::milliseconds(100);
// Make the draws of the endpoint and of the zone independent of the sample, which uses the same random fraction.
constexpr double drawSpread = 104'729.0;
constexpr double zoneSpread = 7'919.0;
// Longest time for which an engine is expected to read prompts that wait.
constexpr double maxReadingSeconds = 60.0;
// Number of seeds to which the caller's random fraction is mapped.
constexpr double sampleSeedRange = 2'000'000'000.0;

double crossZoneCostSeconds(const request_size& size)
{
    return crossZoneSeconds + crossZoneSecondsPerThousandTokens * (static_cast<double>(size.promptTokens) + size.answerTokens) / 1e3;
}

double ratioTo(duration target, duration time) { return target > duration::zero() ? seconds(time) / seconds(target) : 0; }

} // namespace

engine_load endpoint_fleet::engineLoad(const endpoint_state& state, const placement_query& query, const endpoint_work& own) const
{
    engine_load load;
    load.requests = estimatedLoad(state, query.now, query.entryCount);
    load.slots = state.record.slots;
    load.slowdownFactor = slowdown(state, query.now);
    load.measuredPause = query.measuredPause;
    if (hasFreshReport(state, query.now) && state.report->memoryTotal > 0) {
        load.contextTokens = static_cast<double>(state.report->memoryUsed + own.memorySinceReport);
    } else {
        const request_size usual = work_model(*query.engine).usualSize(query.size);
        load.contextTokens = std::min(load.requests, static_cast<double>(load.slots)) * (usual.promptTokens + usual.answerTokens);
    }
    return load;
}

// A request that alone exceeds the memory goes to the endpoint, which says so.
bool endpoint_fleet::fitsOwnShare(const endpoint_state& state, const placement_query& query) const
{
    const std::uint64_t reported = state.report ? state.report->memoryTotal : 0;
    const std::uint64_t total = reported > 0 ? reported : query.engine->memoryTokens;
    const std::uint64_t own = m_work.at(state.record.id).memoryTokens;
    return total == 0 || own == 0 || own + query.size.promptTokens + query.size.answerTokens <= total;
}

// Other entries read the same report, so each uses a part of the free memory only, but one request always.
bool endpoint_fleet::fitsReportedMemory(const endpoint_state& state, const endpoint_work& own, const request_work& work, instant now) const
{
    if (!hasFreshReport(state, now) || state.report->memoryTotal == 0)
        return true;
    const std::uint64_t used = std::min(state.report->memoryUsed, state.report->memoryTotal);
    const std::uint64_t free = state.report->memoryTotal - used;
    const std::uint64_t share = free / std::max(state.report->subscribers, 1U);
    return own.memorySinceReport + work.memoryTokens <= (own.memorySinceReport == 0 ? free : share);
}

double endpoint_fleet::failurePenaltySeconds(const endpoint_state& state, instant now) const
{
    const auto service = m_services.find(state.record.service);
    const double risk = service == m_services.end() ? 0 : service->second.outliers.excessRisk(now, state.record.id, state.record.zone);
    return failureSeconds * std::max(0.0, std::max(risk, currentFailureRate(state, now)) - toleratedFailureRate);
}

duration endpoint_fleet::reportedPromptTime(const endpoint_state& state, const placement_query& query, const engine_load& load) const
{
    if (!hasFreshReport(state, query.now))
        return {};
    const work_model model(*query.engine);
    const double rate = model.readTokensPerSecond(load);
    const double tokens = state.unread.tokens(query.now, rate) + static_cast<double>(state.report->waiting) * model.usualSize(query.size).promptTokens;
    return ofSeconds(std::min(tokens / rate, maxReadingSeconds));
}

bool endpoint_fleet::wasUnreachable(const availability_zone_id& zone, const placement_query& query) const
{
    return std::any_of(query.excludedEndpoints.begin(), query.excludedEndpoints.end(), [&](const endpoint_id& tried) {
        const auto found = m_endpoints.find(tried);
        return found != m_endpoints.end() && found->second.record.zone == zone && found->second.refusedConnections > 0;
    });
}

endpoint_fleet::work_option endpoint_fleet::evaluate(endpoint_state& state, const placement_query& query) const
{
    const work_model model(*query.engine);
    const endpoint_work own = m_work.at(state.record.id);
    const engine_load load = engineLoad(state, query, own);
    work_option option { .state = &state, .work = model.work(query.size, load) };
    const request_size usual = model.usualSize(query.size);
    const duration unread = std::max(own.unreadPrompts, own.promptsSinceReport + reportedPromptTime(state, query, load));
    const duration meanAnswer = meanAnswerTime(state.record.service);
    const duration slotTime = meanAnswer > duration::zero() ? meanAnswer : model.work(usual, load).slotTime;
    option.forecast = model.forecast(query.size, load, unread, slotTime);
    option.forecast.firstEvent = duration(static_cast<duration::rep>(static_cast<double>(option.forecast.firstEvent.count()) * query.forecastCorrection));
    option.hasMemory = fitsReportedMemory(state, own, option.work, query.now);
    const double retryPenalty = query.isRetry && wasUnreachable(state.record.zone, query) ? unreachableZoneSeconds : 0;
    option.cost = retryPenalty + seconds(option.forecast.firstEvent) + seconds(option.forecast.addedDelay) + failurePenaltySeconds(state, query.now)
        + (state.record.zone == query.zone ? 0 : crossZoneCostSeconds(query.size)) + (option.hasMemory ? 0 : seconds(slotTime));
    return option;
}

void endpoint_fleet::keepSound(std::vector<endpoint_state*>& found, const placement_query& query)
{
    const outlier_detector& outliers = m_services[query.service].outliers;
    if (outliers.outCount() == 0)
        return;
    const auto isSound = [&](const endpoint_state* state) {
        const endpoint_standing standing = outliers.standing(query.now, state->record.id);
        return standing == endpoint_standing::In || (standing == endpoint_standing::Probation && query.isRepeatable && !query.isRetry && outliers.mayTry(query.now, state->record.id));
    };
    if (std::any_of(found.begin(), found.end(), isSound))
        std::erase_if(found, [&](const endpoint_state* state) { return !isSound(state); });
}

void endpoint_fleet::recordOutcome(instant now, const endpoint_id& endpoint, attempt_outcome outcome)
{
    const endpoint_state* const state = find(endpoint);
    if (state == nullptr)
        return;
    const auto endpoints = std::count_if(m_endpoints.begin(), m_endpoints.end(),
        [&](const auto& entry) { return entry.second.source != load_source::None && entry.second.record.service == state->record.service && isInService(entry.second, now); });
    const auto change = m_services[state->record.service].outliers.record(now, endpoint, state->record.zone, outcome, static_cast<std::size_t>(endpoints));
    if (change)
        m_workNews.emplace_back(outlier_changed { state->record.service, endpoint, *change });
}

std::size_t endpoint_fleet::outlierCount() const
{
    std::size_t count = 0;
    for (const auto& [id, service] : m_services)
        count += service.outliers.outCount();
    return count;
}

double endpoint_fleet::pressure(endpoint_state& state, const placement_query& query) const
{
    placement_query usual = query;
    usual.size = work_model(*query.engine).usualSize(query.size);
    const work_option option = evaluate(state, usual);
    const auto penalty = std::chrono::duration<double>(failurePenaltySeconds(state, query.now));
    const duration firstEvent = option.forecast.firstEvent + std::chrono::duration_cast<duration>(penalty);
    return std::max(ratioTo(query.latencyTarget, firstEvent), ratioTo(query.pauseTarget, option.forecast.pause));
}

void endpoint_fleet::compareZones(const std::vector<endpoint_state*>& found, const placement_query& query)
{
    service_state& service = m_services[query.service];
    if (!service.spill.isDue(query.now) || query.now - service.zonesComparedAt < zoneComparisonInterval)
        return;
    service.zonesComparedAt = query.now;
    zone_states zones;
    for (endpoint_state* const state : found) {
        zone_state& zone = zones[state->record.zone];
        zone.pressure += pressure(*state, query);
        ++zone.endpoints;
    }
    for (auto& [id, zone] : zones)
        zone.pressure /= static_cast<double>(zone.endpoints);
    if (service.spill.update(query.now, query.zone, zones))
        m_workNews.emplace_back(zone_shares_changed { query.service, service.spill.shares(), std::move(zones) });
}

void endpoint_fleet::keepZones(std::vector<endpoint_state*>& found, const placement_query& query)
{
    const auto other = m_services[query.service].spill.otherZone(std::fmod(query.randomFraction * zoneSpread, 1.0));
    const auto isKept = [&](const endpoint_state* state) { return state->record.zone == query.zone || state->record.zone == other; };
    if (std::any_of(found.begin(), found.end(), isKept))
        std::erase_if(found, [&](const endpoint_state* state) { return !isKept(state); });
}

const endpoint_fleet::work_option& endpoint_fleet::draw(const std::vector<work_option>& options, const placement_query& query)
{
    std::vector<double> costs;
    duration age {};
    for (const work_option& option : options) {
        costs.push_back(option.cost);
        age += hasFreshReport(*option.state, query.now) ? query.now - option.state->reportedAt + reportDelay : duration::zero();
    }
    service_state& service = m_services[query.service];
    if (query.now - service.countedAt >= zoneComparisonInterval) {
        service.countedAt = query.now;
        service.endpoints = static_cast<std::size_t>(std::count_if(m_endpoints.begin(), m_endpoints.end(), [&](const auto& entry) { return isEligible(entry.second, query); }));
    }
    const double rate = service.arrivals.perSecond(query.now) * static_cast<double>(query.entryCount) / static_cast<double>(std::max<std::size_t>(service.endpoints, 1));
    // The age is a sum over the options, each of which gets this rate.
    const double unseen = rate * seconds(age);
    const work_model model(*query.engine);
    const request_size usual = model.usualSize(query.size);
    const engine_load load { .requests = 1, .slots = options.front().state->record.slots };
    const double perRequest = seconds(model.promptTime(usual.promptTokens, load)) + model.events(usual.answerTokens) * seconds(model.passTime(1, 0, 1) - model.passTime(0, 0, 1));
    const double fraction = std::fmod(query.randomFraction * drawSpread, 1.0);
    return options[drawPlacement({ costs, perRequest, unseen, fraction })];
}

std::optional<placement> endpoint_fleet::chooseByWork(const placement_query& query)
{
    auto found = candidates(query, true);
    if (found.empty())
        found = candidates(query, false);
    std::erase_if(found, [&](const endpoint_state* state) { return !fitsOwnShare(*state, query); });
    if (found.empty())
        return std::nullopt;
    keepSound(found, query);
    compareZones(found, query);
    // A retry goes to the endpoint that is most likely to succeed, wherever it is.
    if (!query.isRetry)
        keepZones(found, query);
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(query.randomFraction * sampleSeedRange) + 1);
    std::shuffle(found.begin(), found.end(), random);
    if (!query.isRetry)
        found.resize(std::min(found.size(), m_settings.workSampleSize));
    m_services[query.service].readTokensPerSecond = work_model(*query.engine).readTokensPerSecond({ .requests = static_cast<double>(found.front()->record.slots), .slots = found.front()->record.slots, .measuredPause = query.measuredPause });
    m_services[query.service].arrivals.record(query.now);
    std::vector<work_option> options;
    options.reserve(found.size());
    for (endpoint_state* const state : found)
        options.push_back(evaluate(*state, query));
    const auto cheapest = [](const work_option& left, const work_option& right) { return left.cost < right.cost; };
    const work_option* const best = query.isRetry ? &*std::min_element(options.begin(), options.end(), cheapest) : &draw(options, query);
    const endpoint_record& record = best->state->record;
    const duration age = best->state->report ? query.now - best->state->reportedAt : duration(-1);
    return placement { record.id, record.address, record.slots, estimatedLoad(*best->state, query.now, query.entryCount), age,
        awaitsFirstRequest(*best->state, query.now), record.zone, best->work, best->forecast };
}

} // namespace appleramp
