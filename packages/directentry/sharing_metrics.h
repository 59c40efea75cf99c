#pragma once

namespace appleramp {

class forwarding_reducer;
class metrics_registry;

// Sets the gauges of services whose capacity several urgency ranks share.
void noteSharingGauges(metrics_registry& metrics, const forwarding_reducer& reducer);

} // namespace appleramp
