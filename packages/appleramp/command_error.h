#pragma once

#include "model/errors.h"

namespace appleramp {

// A command that was understood and refused, or that could not be carried out. Says why and what to do.
class command_error : public error {
public:
    using error::error;
};

} // namespace appleramp
