#pragma once

#include "model/errors.h"

namespace appleramp {

// Thrown if a server cannot listen at its address.
class http_error : public error {
public:
    using error::error;
};

} // namespace appleramp
