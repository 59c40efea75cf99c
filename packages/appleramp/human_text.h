#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace appleramp {

// A JSON document as indented lines for people: "name: value", lists with a dash, short records in one line.
std::string humanText(const nlohmann::json&);

} // namespace appleramp
