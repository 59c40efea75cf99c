#pragma once

#include "model/errors.h"

namespace appleramp {

// Thrown for an invalid command line. The message gives the fault and the correct form.
class usage_error : public error {
public:
    using error::error;
};

} // namespace appleramp
