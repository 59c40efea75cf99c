#pragma once

#include "model/key_binding.h"

#include <string>
#include <string_view>

namespace appleramp {

// JSON text of a key's row in the table service.
std::string encodeKeyBinding(const key_binding& binding);

// Throws wire_error naming what is wrong.
key_binding decodeKeyBinding(std::string_view text);

} // namespace appleramp
