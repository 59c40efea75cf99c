#pragma once

#include "model/key_binding.h"

#include <string>
#include <string_view>

namespace appleramp {

// Encodes the value of a key's row in the table service as JSON text.
std::string encodeKeyBinding(const key_binding& binding);

// Throws wire_error with the cause if the text is invalid.
key_binding decodeKeyBinding(std::string_view text);

} // namespace appleramp
