#pragma once

#include "settings/process_settings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace appleramp {

struct setting_descriptor;

// A value as its declaration types it: a text, word, choice or URL; an integer; a fraction; an address; a list of words.
using setting_value = std::variant<std::string, std::int64_t, double, socket_address, std::vector<std::string>>;

// Reads a value. Throws bad_setting_value, which says what is wrong and what to write instead.
setting_value parseSettingValue(const setting_descriptor&, std::string_view text);

} // namespace appleramp
