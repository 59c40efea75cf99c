#pragma once

#include "model/errors.h"

namespace appleramp {

// A command line that can't be understood. Says what is wrong and what to write instead.
class usage_error : public error {
public:
    using error::error;
};

} // namespace appleramp
