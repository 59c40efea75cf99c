#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace appleramp {

// What a route's requests allow.
enum class route_kind {
    // May run more than once.
    Idempotent,
    // May run at most once for each send of a caller.
    NonRepeatable,
    // Answers with server-sent events; repeatable only where the route is resumable.
    Stream,
};

struct weighted_service {
    service_id service;
    std::uint32_t weight = 1;
};

struct route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    route_kind kind = route_kind::NonRepeatable;
    std::vector<weighted_service> services;
    duration timeout {};
    // An answer, or a stream's first event, within this time counts as on time.
    duration latencyTarget {};
    // The longest pause between two events that is still on time; zero for none.
    duration pauseTarget {};
    // Zero is the most urgent.
    std::uint32_t urgencyRank = 0;
    // Endpoints that one send of a caller may be handed to.
    std::uint32_t maxAttempts = 1;
    // Needs no API key.
    bool isPublic = false;
    bool resumable = false;

    bool repeatable() const { return kind == route_kind::Idempotent || (kind == route_kind::Stream && resumable); }
};

struct team {
    team_id id;
    std::vector<std::string> apiKeys;
    std::optional<std::uint32_t> urgencyRank;
};

// The published speed of a model engine, from which its times are predicted.
struct engine_speed {
    duration step {};
    // Added to a step for each request that is generating.
    duration stepPerRequest {};
    double promptTokensPerSecond = 0;
    // Prompt tokens read in one step at most.
    std::uint32_t chunkTokens = 0;
    // Steps in one pass while requests generate; a pass gives one event.
    std::uint32_t stepsPerPass = 1;
};

// How the experts of a service's model are laid out over the ranks of a group.
struct expert_layout {
    std::uint32_t sets = 0;
    std::uint32_t expertsPerSet = 0;
    // Experts that a rank can hold of one set.
    std::uint32_t placesPerRank = 0;
    // Experts of one set that may be new to a rank at a time.
    std::uint32_t sparePlaces = 0;
    double expertMegabytes = 0;
    double linkMegabitsPerSecond = 0;
    // Part of a token's work that experts do.
    double expertShare = 0;

    // For one expert to be copied to a rank.
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
    // Connections that an endpoint takes from all callers together.
    std::uint32_t maxConnections = 0;
    // Requests per second that a cold endpoint bears; zero if a cold start makes no difference.
    double coldRequestsPerSecond = 0;
    std::optional<engine_speed> engine;
    std::optional<expert_layout> experts;
};

// What a caller may send and how long it may take.
struct caller_limits {
    std::uint32_t maxHeaderBytes = 65536;
    std::uint64_t maxBodyBytes = 4UL * 1024 * 1024;
    duration headerTimeout = std::chrono::seconds(10);
    duration idleTimeout = std::chrono::seconds(60);
};

// The operators' configuration of routes, as one whole.
struct routing_configuration {
    configuration_version version = 0;
    std::vector<route> routes;
    std::vector<service_description> services;
    // Without teams no key is asked for.
    std::vector<team> teams;
    caller_limits limits;
};

} // namespace appleramp
