#pragma once

#include "model/errors.h"

namespace appleramp {

// A value that does not fit its declaration. The reader of the file adds where it stands.
class bad_setting_value : public error {
public:
    using error::error;
};

} // namespace appleramp
