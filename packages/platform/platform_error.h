#pragma once

#include "model/errors.h"

namespace appleramp {

// The platform could not be reached or did not answer as its protocol says.
class platform_error : public error {
public:
    using error::error;
};

} // namespace appleramp
