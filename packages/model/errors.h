#pragma once

#include <stdexcept>

namespace appleramp {

// Base of every layer's errors. A layer catches the errors of the layer below and throws its own.
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

} // namespace appleramp
