#pragma once

#include "decisions/forwarding/forwarding_reducer.h"
#include "observe/metrics_registry.h"

namespace appleramp {

// Sets the gauges of the placement by work from the state of the entry's decisions.
void setWorkGauges(metrics_registry& metrics, const forwarding_reducer& reducer, const availability_zone_id& ownZone);

} // namespace appleramp
