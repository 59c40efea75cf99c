#pragma once

#include "model/errors.h"

namespace appleramp {

// Thrown when bytes or text cannot be decoded to the expected type.
class wire_error : public error {
public:
    using error::error;
};

} // namespace appleramp
