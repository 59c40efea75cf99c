#pragma once

#include "model/errors.h"

#include <string>
#include <string_view>

namespace appleramp {

// Says which file, section and key is wrong, in what way, and what to do about it.
class settings_error : public error {
public:
    settings_error(std::string_view file, std::string_view section, std::string_view key, std::string_view problem);

    const std::string& file() const { return m_file; }
    // Empty if the whole file is meant.
    const std::string& section() const { return m_section; }
    // Empty if the whole section is meant.
    const std::string& key() const { return m_key; }

private:
    std::string m_file;
    std::string m_section;
    std::string m_key;
};

} // namespace appleramp
