#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace appleramp {

// Settings for the requests to one model or plain service.
struct service_policy {
    // Path prefixes whose requests may run more than once. Requests to all other paths are non-repeatable.
    std::vector<std::string> repeatableRoutes;
    // Most requests of one team in flight across the whole fleet; zero means no limit.
    std::uint32_t teamLimit = 0;
};

// Default limits and timeouts for all teams and services of the fleet.
struct fleet_defaults {
    std::uint32_t teamLimit = 64;
    // Most sends of one request after the first one.
    std::uint32_t maxRetries = 2;
    // Retry budget: retries allowed per 100 first sends, counted per team and per service.
    std::uint32_t retryBudgetPercent = 10;
    // Longest time that a request to a model is queued for a slot before it is refused.
    duration maxQueueWait = std::chrono::milliseconds(115);
    duration requestTimeout = std::chrono::seconds(60);
    duration addressValidity = std::chrono::seconds(30);
    // How long an agent keeps the outcome of a request with an idempotency key.
    duration keyRetention = std::chrono::hours(24);
};

// Replaces the default limit for one team. Operators must state the reason.
struct team_exception {
    team_id team;
    std::uint32_t teamLimit = 0;
    std::string reason;
};

struct set_defaults {
    static constexpr const char* name = "set_defaults";
    fleet_defaults defaults;
};
struct put_service {
    static constexpr const char* name = "put_service";
    service_id service;
    service_policy policy;
};
struct remove_service {
    static constexpr const char* name = "remove_service";
    service_id service;
};
struct add_exception {
    static constexpr const char* name = "add_exception";
    team_exception exception;
};
struct remove_exception {
    static constexpr const char* name = "remove_exception";
    team_id team;
};
struct take_zone_out {
    static constexpr const char* name = "take_zone_out";
    availability_zone_id zone;
};
struct take_zone_in {
    static constexpr const char* name = "take_zone_in";
    availability_zone_id zone;
};
struct take_instance_out {
    static constexpr const char* name = "take_instance_out";
    instance_id instance;
};
struct take_instance_in {
    static constexpr const char* name = "take_instance_in";
    instance_id instance;
};

using configuration_change = std::variant<set_defaults, put_service, remove_service, add_exception, remove_exception,
    take_zone_out, take_zone_in, take_instance_out, take_instance_in>;

// A change that is committed in the table service. Applied to version n, it yields version n + 1.
struct accepted_change {
    configuration_version version = 0;
    // Chosen by the writer: after a lost reply, it tells by this id whether its own change was committed.
    std::string changeId;
    configuration_change change;
};

// The complete fleet configuration at one version.
struct fleet_configuration {
    configuration_version version = 0;
    fleet_defaults defaults;
    std::map<service_id, service_policy> services;
    std::map<team_id, team_exception> exceptions;
    std::set<availability_zone_id> zonesOut;
    std::set<instance_id> instancesOut;
};

} // namespace appleramp
