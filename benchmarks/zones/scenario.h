#pragma once

#include "engine_fake.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace appleramp::zones {

constexpr std::size_t zoneCount = 3;
// The zone that is taken out.
constexpr std::size_t zoneOut = 2;

// One customer's fleet.
struct fleet_shape {
    std::string customer;
    std::size_t entries = 8;
    std::size_t engines = 16;
    std::size_t teams = 10;
    duration betweenZones {};
    duration toCallers {};
};

struct scenario {
    fleet_shape fleet;
    engine_shape engine;
    double load = 0;
    std::uint64_t seed = 1;
    duration warmUp = std::chrono::seconds(30);
    duration outage = std::chrono::minutes(10);
    duration afterReturn = std::chrono::seconds(120);

    std::size_t enginesIn(bool zoneIsOut) const
    {
        std::size_t count = 0;
        for (std::size_t engine = 0; engine < fleet.engines; ++engine)
            count += zoneIsOut && engine % zoneCount == zoneOut ? 0 : 1;
        return count;
    }
    // Answers a second.
    double capacity(bool zoneIsOut) const
    {
        const auto seconds = std::chrono::duration<double>(engine.fullTime()).count();
        return static_cast<double>(enginesIn(zoneIsOut) * engine.warmBatch) / seconds;
    }
    double offered() const { return load * capacity(false); }
};

// What became of one request, as its caller sees it.
struct caller_record {
    instant sent;
    std::size_t team = 0;
    std::uint64_t attempts = 0;
    instant firstToken;
    instant lastChunk;
    instant ended;
    bool answered = false;
    bool refused = false;
};

// What a policy did in one scenario.
struct run_log {
    std::vector<caller_record> callers;
    // Times between tokens as callers saw them, in milliseconds.
    std::vector<float> betweenTokensMs;
    std::uint64_t coldOverloads = 0;
    std::uint64_t lateZoneWork = 0;
    std::uint64_t attempts = 0;
    instant began;
    instant taken;
    instant returned;
    instant ended;
};

constexpr duration firstTokenBound = std::chrono::milliseconds(310);
constexpr duration lateAfter = std::chrono::seconds(3);
constexpr duration callerTimeout = std::chrono::seconds(10);

} // namespace appleramp::zones
