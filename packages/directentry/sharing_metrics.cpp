#include "directentry/sharing_metrics.h"

#include "decisions/forwarding/forwarding_reducer.h"
#include "observe/metrics_registry.h"

#include <string>

namespace appleramp {

namespace {

const metric_descriptor utilization { "appleramp_room_utilization", metric_kind::Gauge, "Requests that run and wait at a service's endpoints, relative to what they should hold." };
const metric_descriptor waiting { "appleramp_room_waiting", metric_kind::Gauge, "Requests that wait at this entry for room at a service." };
const metric_descriptor fraction { "appleramp_room_fraction", metric_kind::Gauge, "Fraction of an urgency rank's requests that a service has room for." };
const metric_descriptor refusals { "appleramp_room_refusals", metric_kind::Gauge, "Requests that were refused for lack of room since the start, by cause." };

} // namespace

void noteSharingGauges(metrics_registry& metrics, const forwarding_reducer& reducer)
{
    for (const auto& [service, room] : reducer.rooms()) {
        metrics.set(utilization, room.room().utilization(), { { "service", service.str() } });
        metrics.set(waiting, static_cast<double>(room.waiting().size()), { { "service", service.str() } });
        for (std::uint8_t rank = 0; rank < sharedRanks; ++rank) {
            if (room.room().offered(rank) > 0)
                metrics.set(fraction, room.room().fraction(rank), { { "service", service.str() }, { "rank", std::to_string(rank) } });
        }
    }
    for (const auto& [cause, count] : reducer.roomRefusals())
        metrics.set(refusals, static_cast<double>(count), { { "cause", std::string(nameOf(cause)) } });
}

} // namespace appleramp
