#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

// Returns the string member "model" of a JSON object, or nullopt if the text is not valid JSON or has no such member. The
// whole text is validated without building a document, since a document can take many times the memory of its text.
std::optional<std::string> readModelName(std::string_view json);

} // namespace appleramp
