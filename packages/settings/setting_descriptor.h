#pragma once

#include "settings/setting_value.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

enum class setting_type {
    Name,
    Choice,
    Integer,
    // A decimal number of milliseconds, or of seconds under the key that secondsKeyOf names. Its minimum and maximum are given in
    // microseconds.
    Duration,
    // A decimal fraction. Its minimum and maximum are given in thousandths.
    Fraction,
    Address,
    Url,
    NameList,
};

// Where a Duration goes that lies between two microseconds.
enum class rounding {
    // For a bound that the process keeps.
    Down,
    // For a time that the process waits.
    Up,
};

// The single declaration of a key. Parsing, validation and the line in the reference table are all derived from it.
struct setting_descriptor {
    std::string_view section;
    std::string_view key;
    setting_type type = setting_type::Name;
    std::string_view unit;
    // If absent, the key is required.
    std::optional<std::string_view> defaultValue;
    // Inclusive range of an Integer, a Duration or a Fraction.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    // Of a Duration.
    appleramp::rounding rounding = appleramp::rounding::Down;
    // Valid values of a Choice.
    std::vector<std::string_view> choices;
    // Roles whose processes have the key; empty for all roles.
    std::vector<process_role> roles;
    std::string_view doc;
    void (*assign)(process_settings&, const setting_value&) = nullptr;
};

// All keys that a settings file may contain, in the order of the reference table.
std::span<const setting_descriptor> settingDescriptors();

// The key under which a Duration, whose own key ends in _ms, is given in seconds: grace_s for grace_ms. Empty for other types.
std::string secondsKeyOf(const setting_descriptor&);

} // namespace appleramp
