#pragma once

#include "model/errors.h"

namespace appleramp {

// Thrown when a process cannot set up a resource that it needs, such as a port, a file or an address.
class runtime_error : public error {
public:
    using error::error;
};

} // namespace appleramp
