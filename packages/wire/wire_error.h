#pragma once

#include "model/errors.h"

namespace appleramp {

// Bytes or text that do not decode to the expected type.
class wire_error : public error {
public:
    using error::error;
};

} // namespace appleramp
