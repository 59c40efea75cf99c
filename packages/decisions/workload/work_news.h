#pragma once

#include "decisions/workload/outlier_detector.h"
#include "decisions/workload/zone_spill.h"
#include "model/identifiers.h"

#include <map>
#include <variant>

namespace appleramp {

// The part of this entry's requests that may go to other zones has changed.
struct zone_shares_changed {
    service_id service;
    std::map<availability_zone_id, double> shares;
    zone_states zones;
};

struct outlier_changed {
    service_id service;
    endpoint_id endpoint;
    standing_change change;
};

// Changes in the placement by work that operators see in the log.
using work_news = std::variant<zone_shares_changed, outlier_changed>;

} // namespace appleramp
