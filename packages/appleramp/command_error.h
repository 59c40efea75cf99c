#pragma once

#include "model/errors.h"

namespace appleramp {

// Thrown when a valid command is refused or fails. The message gives the cause and, where there is one, the remedy.
class command_error : public error {
public:
    using error::error;
};

} // namespace appleramp
