#pragma once

#include "model/errors.h"

namespace appleramp {

// Thrown if no expert map can be planned for a group's shape, or if a lease row is malformed.
class maps_error : public error {
public:
    using error::error;
};

} // namespace appleramp
