#pragma once

#include "model/request.h"

namespace appleramp {

// The request's key qualified by its team and service, so that equal keys of different teams or services do not collide.
idempotency_key scopedKey(const service_request& request);

// True if the path lies within a route that is declared repeatable. False for a path that an endpoint might resolve to
// another route, such as one with `..`, `//`, `\` or percent-encoding.
bool isRepeatablePath(std::string_view path, std::string_view route);

} // namespace appleramp
