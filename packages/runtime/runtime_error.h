#pragma once

#include "model/errors.h"

namespace appleramp {

// A process could not set up its surroundings: a port, a file, an address.
class runtime_error : public error {
public:
    using error::error;
};

} // namespace appleramp
