#pragma once

#include "settings/process_settings.h"

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

class settings_error;

// Reads and validates a settings file. Throws settings_error if the file can't be read or is invalid.
process_settings loadSettings(const std::string& path);

// Parses and validates settings in INI format. Error messages use sourceName as the name of the file.
process_settings parseSettings(std::istream&, std::string_view sourceName);

// Everything that is wrong with a settings file, in the order of the file's lines and then of the reference; empty if a process can
// start with it.
std::vector<settings_error> findSettingsErrors(const std::string& path);

// Returns the reference of all keys as a Markdown table, generated from their descriptors.
std::string describeSettings();

} // namespace appleramp
