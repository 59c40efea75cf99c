#pragma once

#include "model/effects.h"
#include "model/journal.h"

#include <string>

namespace appleramp {

class configuration_register;
class demand_planner;
class endpoint_directory;
class configuration_refresh;
class suspect_registry;
class trace_id_generator;

// Identity of an entry process: read from its settings, with the incarnation of its current start.
struct entry_identity {
    instance_id instance;
    availability_zone_id zone;
    incarnation life = 0;
    // Address on which the entry accepts links; empty if it accepts none.
    std::string linkAddress;
    std::size_t maxRequests = 4096;
};

// State that the components of entry_reducer share while they handle one event: the event's time, references to the
// components' shared state, and the list to which they append effects.
struct entry_context {
    instant now;
    const entry_identity& identity;
    configuration_register& configuration;
    endpoint_directory& endpoints;
    demand_planner& demands;
    suspect_registry& suspects;
    const configuration_refresh& refresh;
    operation_number& lastOperation;
    trace_id_generator& traceIds;
    entry_effects& effects;

    // Appends a platform call to the effects and returns its operation number, which the reply carries.
    operation_number callPlatform(platform_call call) const;
    // Appends a message with the sender's incarnation and configuration version to the effects.
    void send(link_number link, link_message message) const;
    // Appends an entry for the decision journal to the effects.
    void recordDecision(decision_kind kind, std::string subject, std::string reason) const;
};

} // namespace appleramp
