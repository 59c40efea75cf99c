#pragma once

#include "model/errors.h"

namespace appleramp {

// Thrown for a value that does not satisfy its setting_descriptor. The caller that parses the file adds the file, the
// section and the key.
class bad_setting_value : public error {
public:
    using error::error;
};

} // namespace appleramp
