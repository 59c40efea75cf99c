#pragma once

#include "model/instance.h"
#include "platform/platform_client.h"

namespace appleramp {

struct platform_section;

// How to reach the platform that the settings name. Throws runtime_error if the URL has no numeric host and port.
platform_client_options platformOptions(const platform_section& settings);

// Enters this process in the instance list, or takes it out again. Both give up in silence if the platform is down: the
// list lags in any case, and links carry the truth.
void announce(const platform_client_options& options, const listed_instance& self);
void withdraw(const platform_client_options& options, const instance_id& self);

} // namespace appleramp
