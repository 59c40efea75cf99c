#pragma once

#include <stdexcept>

namespace appleramp {

// Base class of all exceptions. Each layer catches the exceptions of the layer below and throws its own type.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace appleramp
