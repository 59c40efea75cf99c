#include "decisions/workload/answer_length_estimator.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace appleramp {

namespace {

// The newest answer has at least this weight, so about the last 50 of a route count.
constexpr double leastWeight = 0.02;
// Variance of the logarithm, of a route's lengths and of hints, that counts as one answer until answers show them.
constexpr double presumedRouteVariance = 1.0;
constexpr double presumedHintVariance = 0.5;
// A single difference counts as at most a factor of 20, so that one absurd hint does not dominate.
constexpr double maxDifference = 3.0;
// A hint that differs more than by this from what the route's answers show is not used.
constexpr double maxHintDifference = 4.6;
// Length where nothing is known: no answer, no hint, no published mean and no limit.
constexpr double defaultTokens = 128;
// Fraction of the longest permitted answer that is expected where nothing else is known.
constexpr double usualPartOfMost = 0.5;

double varianceOf(double presumed, double variance, double answers) { return (presumed + variance * answers) / (1 + answers); }

} // namespace

bool answer_length_estimator::isUsableHint(const answer_length_query& query)
{
    return query.hint > 0 && (query.mostTokens == 0 || query.hint <= query.mostTokens);
}

std::uint32_t answer_length_estimator::expectedTokens(const answer_length_query& query) const
{
    const double most = query.mostTokens > 0 ? query.mostTokens : 1e6;
    const auto known = m_routes.find(query.route);
    const bool hasAnswers = known != m_routes.end() && known->second.route.answers > 0;
    double routeTokens = query.usualTokens > 0 ? query.usualTokens : defaultTokens;
    if (query.usualTokens == 0 && query.mostTokens > 0)
        routeTokens = usualPartOfMost * most;
    double expected = hasAnswers ? known->second.meanLog : std::log(routeTokens);
    const double routeVariance = hasAnswers ? varianceOf(presumedRouteVariance, known->second.route.variance, known->second.route.answers) : presumedRouteVariance;
    double variance = routeVariance;
    if (isUsableHint(query) && std::abs(std::log(query.hint) - expected) <= maxHintDifference) {
        const double hintVariance = known != m_routes.end()
            ? varianceOf(presumedHintVariance, known->second.hint.variance, known->second.hint.answers)
            : presumedHintVariance;
        const double hintWeight = routeVariance / (routeVariance + hintVariance);
        expected += hintWeight * (std::log(query.hint) - expected);
        variance = routeVariance * hintVariance / (routeVariance + hintVariance);
    }
    // The mean of a log-normal length is larger than its median.
    const double mean = std::exp(expected + 0.5 * std::min(variance, 1.0));
    return static_cast<std::uint32_t>(std::clamp(mean, 1.0, most));
}

void answer_length_estimator::record(moving_error& error, double difference)
{
    const double bounded = std::clamp(difference, -maxDifference, maxDifference);
    error.answers = std::min(error.answers + 1, 1 / leastWeight);
    error.variance += (bounded * bounded - error.variance) / error.answers;
}

void answer_length_estimator::recordAnswer(const answer_length_query& query, std::uint32_t tokens)
{
    auto known = m_routes.find(query.route);
    if (known == m_routes.end()) {
        if (m_routes.size() >= maxRoutes)
            return;
        known = m_routes.emplace(std::string(query.route), route_lengths {}).first;
    }
    route_lengths& lengths = known->second;
    const double length = std::log(std::max(tokens, 1U));
    record(lengths.expected, length - std::log(std::max(expectedTokens(query), 1U)));
    if (lengths.route.answers == 0)
        lengths.meanLog = length;
    record(lengths.route, length - lengths.meanLog);
    lengths.meanLog += (length - lengths.meanLog) / lengths.route.answers;
    if (isUsableHint(query))
        record(lengths.hint, length - std::log(query.hint));
}

double answer_length_estimator::errorFactor(std::string_view route) const
{
    const auto known = m_routes.find(route);
    return known == m_routes.end() ? 1 : std::exp(std::sqrt(known->second.expected.variance));
}

} // namespace appleramp
