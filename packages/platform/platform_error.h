#pragma once

#include "model/errors.h"

namespace appleramp {

// Thrown if the platform cannot be reached, reports a failure or violates its protocol, or if its address or a call
// cannot be encoded.
class platform_error : public error {
public:
    using error::error;
};

} // namespace appleramp
