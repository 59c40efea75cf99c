#pragma once

#include "settings/setting_value.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace appleramp {

enum class setting_type {
    Word,
    Choice,
    Integer,
    // A decimal fraction; the range counts in thousandths.
    Fraction,
    Address,
    Url,
    WordList,
};

// The one declaration of a key: its reader, its check and its line in the reference table all come from here.
struct setting_descriptor {
    std::string_view section;
    std::string_view key;
    setting_type type = setting_type::Word;
    std::string_view unit;
    // Without a default the key must be given.
    std::optional<std::string_view> defaultValue;
    // Of an Integer, both ends included.
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    // Of a Choice.
    std::vector<std::string_view> choices;
    // Set if only processes of these roles have the key.
    std::vector<process_role> roles;
    std::string_view doc;
    void (*assign)(process_settings&, const setting_value&) = nullptr;
};

// Every key that a settings file may hold, in the order of the reference.
std::span<const setting_descriptor> settingDescriptors();

} // namespace appleramp
