#pragma once

#include "decisions/forwarding/forwarding_events.h"
#include "model/time.h"

#include <map>
#include <memory>

namespace appleramp {

class caller_exchange;
class line_log;

// Logs which requests a stop cuts, a line for each of the first ones.
void logCutRequests(line_log& log, instant now, const std::map<request_number, std::shared_ptr<caller_exchange>>& exchanges);

} // namespace appleramp
