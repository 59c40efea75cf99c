#pragma once

#include "model/time.h"
#include "settings/process_settings.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace appleramp {

struct setting_descriptor;

// A parsed value. The setting_type selects the alternative: a string for Name, Choice and Url, an integer for Integer, a
// duration for Duration, a double for Fraction, an address for Address, a list of strings for NameList.
using setting_value = std::variant<std::string, std::int64_t, duration, double, socket_address, std::vector<std::string>>;

// Unit in which a Duration is written.
enum class time_unit {
    Milliseconds,
    Seconds,
};

// Parses a value by the type and range of its descriptor. Throws bad_setting_value, whose message names the fault and a
// valid form.
setting_value parseSettingValue(const setting_descriptor&, std::string_view text, time_unit = time_unit::Milliseconds);

} // namespace appleramp
