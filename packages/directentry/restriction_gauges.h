#pragma once

#include "model/time.h"

namespace appleramp {

class forwarding_reducer;
class metrics_registry;

// Sets the metrics that say how many endpoints are known and how many take less than their peers, which requests are suspected, how long started ones took to take as much, how many
// requests wait for limits, and how many retries were granted and denied.
void setRestrictionGauges(metrics_registry& metrics, instant now, const forwarding_reducer& reducer);

} // namespace appleramp
