#pragma once

#include "model/errors.h"

namespace appleramp {

// Thrown if the connection ends before the response is complete, or if the received bytes are not a valid response.
class response_error : public error {
public:
    using error::error;
};

} // namespace appleramp
