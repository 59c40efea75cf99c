#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace appleramp {

// Whether a route's requests may be repeated, and whether its responses are streamed.
enum class route_kind {
    // May run more than once.
    Idempotent,
    // May run at most once each time a caller sends it.
    NonRepeatable,
    // Responds with server-sent events; repeatable only if the route is resumable.
    Stream,
};

struct weighted_service {
    service_id service;
    // Share of the requests, relative to the other services of the route.
    double weight = 1;
};

struct route {
    std::string name;
    std::string host;
    // Path prefix that begins and ends with a slash.
    std::string prefix;
    route_kind kind = route_kind::NonRepeatable;
    std::vector<weighted_service> services;
    duration timeout {};
    // Time by which a response, or the first event of a stream, must arrive to count as on time.
    duration latencyTarget {};
    // Longest pause between two events that counts as on time; zero: the process's default applies.
    duration pauseTarget {};
    // Zero is the highest urgency.
    std::uint32_t urgencyRank = 0;
    // Most endpoints that a request is sent to each time a caller sends it.
    std::uint32_t maxAttempts = 1;
    // True if requests need no API key.
    bool isPublic = false;
    bool resumable = false;

    bool repeatable() const { return kind == route_kind::Idempotent || (kind == route_kind::Stream && resumable); }
};

struct team {
    team_id id;
    std::vector<std::string> apiKeys;
    std::optional<std::uint32_t> urgencyRank;
};

// Published speed of a model engine, used to predict response times.
struct engine_speed {
    duration step {};
    // Additional step time for each request that is generating.
    duration stepPerRequest {};
    double promptTokensPerSecond = 0;
    // Most prompt tokens processed in one step.
    std::uint32_t chunkTokens = 0;
    // Steps per pass while requests are generating; each pass yields one event.
    std::uint32_t stepsPerPass = 1;
    // Additional step time for each generating request, in milliseconds per thousand tokens of its context.
    double contextMillisecondsPerThousand = 0;
    // Additional time to read a prompt, in milliseconds per million pairs of its tokens.
    double pairMillisecondsPerMillion = 0;
    // Tokens of all running requests that fit into the engine's memory; zero if not published.
    std::uint64_t memoryTokens = 0;
    // Mean sizes of the requests that the engine was planned for; zero if not published.
    std::uint32_t usualPromptTokens = 0;
    std::uint32_t usualAnswerTokens = 0;
};

// How the experts of a service's model are distributed over the ranks of a group.
struct expert_layout {
    std::uint32_t sets = 0;
    std::uint32_t expertsPerSet = 0;
    // Experts of one set that a rank can hold.
    std::uint32_t placesPerRank = 0;
    // Experts of one set that may be moved to a rank at the same time.
    std::uint32_t sparePlaces = 0;
    double expertMegabytes = 0;
    double linkMegabitsPerSecond = 0;
    // Fraction of the work per token that is done in experts.
    double expertShare = 0;

    // Time to copy one expert to a rank.
    duration copyTime() const
    {
        constexpr double bitsPerByte = 8.0;
        const double seconds = linkMegabitsPerSecond > 0 ? expertMegabytes * bitsPerByte / linkMegabitsPerSecond : 0;
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    }
};

struct service_description {
    service_id id;
    std::string healthPath;
    // Most connections that an endpoint accepts from all callers together.
    std::uint32_t maxConnections = 0;
    // Most requests per second that a cold endpoint can handle, zero if it states none. Absent: endpoints need no warm-up.
    std::optional<double> coldRequestsPerSecond;
    std::optional<engine_speed> engine;
    std::optional<expert_layout> experts;
};

// Size and time limits for callers' requests and connections.
struct caller_limits {
    std::uint32_t maxHeaderBytes = 65536;
    std::uint64_t maxBodyBytes = 4UL * 1024 * 1024;
    duration headerTimeout = std::chrono::seconds(10);
    duration idleTimeout = std::chrono::seconds(60);
};

// The operators' complete routing configuration at one version.
struct routing_configuration {
    configuration_version version = 0;
    std::vector<route> routes;
    std::vector<service_description> services;
    // Teams whose API keys requests carry. Absent: requests need no key. Empty: no key is valid.
    std::optional<std::vector<team>> teams;
    // Teams that could not be read and were left out. An unknown key may be one of theirs.
    std::uint32_t unreadableTeams = 0;
    caller_limits limits;
};

} // namespace appleramp
