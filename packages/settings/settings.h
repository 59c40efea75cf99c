#pragma once

#include "settings/process_settings.h"

#include <iosfwd>
#include <string>
#include <string_view>

namespace appleramp {

// Reads and validates a settings file. Throws settings_error if the file can't be read or is invalid.
process_settings loadSettings(const std::string& path);

// Parses and validates settings in INI format. Error messages use sourceName as the name of the file.
process_settings parseSettings(std::istream&, std::string_view sourceName);

// Returns the reference of all keys as a Markdown table, generated from their descriptors.
std::string describeSettings();

} // namespace appleramp
