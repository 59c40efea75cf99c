#pragma once

#include "model/errors.h"

namespace appleramp {

// Thrown when a trace or an outcomes file is invalid; the message names file and line where they are known.
class replay_error : public error {
public:
    using error::error;
};

} // namespace appleramp
