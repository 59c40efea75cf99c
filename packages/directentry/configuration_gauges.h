#pragma once

#include "model/time.h"

namespace appleramp {

class forwarding_reducer;
class metrics_registry;
class store_followers;

// Sets the metrics of the configuration in force: its version, its age, and whether the store holds one that can't be read.
void setConfigurationGauges(metrics_registry& metrics, instant now, const forwarding_reducer& reducer, const store_followers& followers);

} // namespace appleramp
