#pragma once

#include "http/server_connection.h"

namespace appleramp {

class route_table;
struct process_settings;

// What callers' connections may send and how long they may stay idle, by the configuration in force; no configuration is known yet if
// `routes` is null.
server_limits callerConnectionLimits(const route_table* routes, const process_settings& settings);

// The same for the ports of addresses, readiness and operations, whose requests are short and have no body.
server_limits serviceConnectionLimits();

} // namespace appleramp
