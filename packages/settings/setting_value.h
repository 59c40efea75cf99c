#pragma once

#include "settings/process_settings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace appleramp {

struct setting_descriptor;

// A parsed value. The setting_type selects the alternative: a string for Name, Choice and Url, an integer for Integer, a
// double for Fraction, an address for Address, a list of strings for NameList.
using setting_value = std::variant<std::string, std::int64_t, double, socket_address, std::vector<std::string>>;

// Parses a value by the type and range of its descriptor. Throws bad_setting_value, whose message names the fault and a
// valid form.
setting_value parseSettingValue(const setting_descriptor&, std::string_view text);

} // namespace appleramp
