#pragma once

#include <string>

namespace appleramp {

// Reads a whole file of at most 16 MiB. Throws command_error if the file can't be read or is longer.
std::string readTextFile(const std::string& path);

} // namespace appleramp
