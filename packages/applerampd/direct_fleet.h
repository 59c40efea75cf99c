#pragma once

#include "settings/process_settings.h"

#include <string>

namespace appleramp {

// Runs a direct entry or agent until it is stopped. Throws http_error if a port can't be opened.
void runDirectProcess(const process_settings& settings, incarnation life, const std::string& settingsPath);

} // namespace appleramp
