#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace appleramp {

struct answer_length_query {
    std::string_view route;
    // Most tokens that the answer may have; zero if not stated.
    std::uint32_t mostTokens = 0;
    // Tokens that the caller expects; zero if it does not say.
    std::uint32_t hint = 0;
    // Mean tokens of an answer by the service's published figures; zero if there are none.
    std::uint32_t usualTokens = 0;
};

// Estimates how many tokens an answer will have, from the answers of its route and from callers' hints.
//
// Both are weighed by how far they were off before, so that hints that are wrong lose their influence. Lengths are compared as
// logarithms, since they are spread over orders of magnitude.
class answer_length_estimator {
public:
    std::uint32_t expectedTokens(const answer_length_query& query) const;
    // The whole answer had that many tokens.
    void recordAnswer(const answer_length_query& query, std::uint32_t tokens);
    // Mean error of the expectations for a route, as a factor of 1 or more.
    double errorFactor(std::string_view route) const;
    std::size_t size() const { return m_routes.size(); }

    // Answers of further routes are expected to be as long as the published mean.
    static constexpr std::size_t maxRoutes = 256;

private:
    struct moving_error {
        double variance = 0;
        double answers = 0;
    };
    struct route_lengths {
        double meanLog = 0;
        moving_error route;
        // Of hints that were sent and usable.
        moving_error hint;
        moving_error expected;
    };

    static void record(moving_error& error, double difference);
    static bool isUsableHint(const answer_length_query& query);

    std::map<std::string, route_lengths, std::less<>> m_routes;
};

} // namespace appleramp
