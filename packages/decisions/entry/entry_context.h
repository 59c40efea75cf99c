#pragma once

#include "model/effects.h"
#include "model/journal.h"

#include <string>

namespace appleramp {

class configuration_register;
class demand_planner;
class endpoint_directory;
class news_refresh;
class suspect_registry;
class trace_id_generator;

// Who an entry is, from its settings and its start.
struct entry_identity {
    instance_id instance;
    availability_zone_id zone;
    incarnation life = 0;
    // Where links reach this entry; empty if it takes none.
    std::string linkAddress;
    std::size_t maxRequests = 4096;
};

// What the parts of an entry's reducer share while they handle one event: the time, what the others know, and the
// effects so far.
struct entry_context {
    instant now;
    const entry_identity& self;
    configuration_register& configuration;
    endpoint_directory& endpoints;
    demand_planner& demands;
    suspect_registry& suspects;
    const news_refresh& refresh;
    operation_number& lastOperation;
    trace_id_generator& traceIds;
    entry_effects& effects;

    operation_number call(platform_call call) const;
    void send(link_number link, link_message message) const;
    void decide(decision_kind kind, std::string subject, std::string reason) const;
};

} // namespace appleramp
