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

// How requests to one model or plain service are treated.
struct service_policy {
    // Routes (path prefixes) that may be run more than once. Everything else is non-repeatable.
    std::vector<std::string> repeatableRoutes;
    // Requests in flight that one team may have in the whole fleet; zero means no limit.
    std::uint32_t teamLimit = 0;
};

// Fleet-wide defaults.
struct fleet_defaults {
    std::uint32_t teamLimit = 64;
    // Further sends of one request after its first.
    std::uint32_t maxRetries = 2;
    // Retries as a share of first sends, per team and per service, in percent.
    std::uint32_t retryBudgetPercent = 10;
    // How long a request to a model may wait for a slot before it is refused.
    duration maxQueueWait = std::chrono::milliseconds(115);
    duration requestTimeout = std::chrono::seconds(60);
    duration addressValidity = std::chrono::seconds(30);
    // How long an agent remembers the outcome of a keyed request.
    duration keyRetention = std::chrono::hours(24);
};

// A team's own value in place of a default. Operators must write down why.
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

// A change that the table service has committed. Version n + 1 is version n with this change applied.
struct accepted_change {
    configuration_version version = 0;
    // Chosen by the writer, so that it recognises its own change after a lost reply.
    std::string changeId;
    configuration_change change;
};

// The fleet's whole configuration at one version.
struct fleet_configuration {
    configuration_version version = 0;
    fleet_defaults defaults;
    std::map<service_id, service_policy> services;
    std::map<team_id, team_exception> exceptions;
    std::set<availability_zone_id> zonesOut;
    std::set<instance_id> instancesOut;
};

} // namespace appleramp
