#pragma once

#include "model/instance.h"
#include "platform/platform_client.h"

namespace appleramp {

struct platform_section;

// Client options for the platform at the table URL of the settings. Throws runtime_error if that URL cannot be parsed.
platform_client_options platformOptions(const platform_section& settings);

// Registers this process in the platform's instance list or deregisters it. Platform errors are ignored: the list may
// be out of date in any case, and the links between processes show who is actually up.
void announce(const platform_client_options& options, const listed_instance& self);
void withdraw(const platform_client_options& options, const instance_id& self);

} // namespace appleramp
