#pragma once

#include "model/errors.h"

namespace appleramp {

// A listening address can't be used.
class http_error : public error {
public:
    using error::error;
};

} // namespace appleramp
