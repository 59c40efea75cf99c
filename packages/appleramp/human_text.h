#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace appleramp {

// Formats a JSON document as indented text for people: "name: value" lines, lists with dashes, and list elements without
// nested values as one line each.
std::string humanText(const nlohmann::json&);

} // namespace appleramp
