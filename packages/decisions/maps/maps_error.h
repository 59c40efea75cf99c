#pragma once

#include "model/errors.h"

namespace appleramp {

// An expert map cannot be planned or read: the group's form does not allow it.
class maps_error : public error {
public:
    using error::error;
};

} // namespace appleramp
