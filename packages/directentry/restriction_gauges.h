#pragma once

#include "model/time.h"

namespace appleramp {

class forwarding_reducer;
class metrics_registry;

// Sets the metrics that say how many endpoints take less than their peers, how long started ones took to take as much, and how many
// requests wait for limits.
void setRestrictionGauges(metrics_registry& metrics, instant now, const forwarding_reducer& reducer);

} // namespace appleramp
