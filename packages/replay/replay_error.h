#pragma once

#include "model/errors.h"

namespace appleramp {

// A trace or a file of outcomes that can't be written or read; names file and line where there is one.
class replay_error : public error {
public:
    using error::error;
};

} // namespace appleramp
