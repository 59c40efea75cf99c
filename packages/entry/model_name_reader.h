#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

// The string member "model" of a JSON object; nothing if the text is no such object. The text is checked to its end
// without keeping it in memory, so that a small body can't take much memory.
std::optional<std::string> readModelName(std::string_view json);

} // namespace appleramp
