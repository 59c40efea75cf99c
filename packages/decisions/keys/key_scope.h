#pragma once

#include "model/request.h"

namespace appleramp {

// The request's key together with its team and service, so that keys of different teams or services do not meet.
idempotency_key scopedKey(const service_request& request);

// True if the request's route is declared repeatable. A path that an endpoint might read as another route is not.
bool isRepeatablePath(std::string_view path, std::string_view route);

} // namespace appleramp
