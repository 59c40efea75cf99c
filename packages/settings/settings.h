#pragma once

#include "settings/process_settings.h"

#include <iosfwd>
#include <string>
#include <string_view>

namespace appleramp {

// Reads a settings file. Throws settings_error if the process must not start with it.
process_settings loadSettings(const std::string& path);

// Reads settings in INI form; errors name the source by the given name.
process_settings parseSettings(std::istream&, std::string_view nameForErrors);

// The reference of all keys as a Markdown table, made from their declarations.
std::string describeSettings();

} // namespace appleramp
