#pragma once

#include "decisions/forwarding/attempt_ending.h"
#include "http/client_connection.h"

namespace appleramp {

// What the failure of an exchange with an endpoint means for the attempt.
attempt_ending endingAfter(exchange_failure failure);

} // namespace appleramp
