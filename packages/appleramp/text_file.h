#pragma once

#include <string>

namespace appleramp {

// A whole file of bounded length. Throws command_error if it can't be read.
std::string readTextFile(const std::string& path);

} // namespace appleramp
