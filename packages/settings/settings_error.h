#pragma once

#include "model/errors.h"

#include <string>
#include <string_view>

namespace appleramp {

// Reports an invalid setting. The message names the file, the section, the key, the fault and its remedy.
class settings_error : public error {
public:
    settings_error(std::string_view file, std::string_view section, std::string_view key, std::string_view problem);

    const std::string& file() const { return m_file; }
    // Empty if the error concerns the whole file.
    const std::string& section() const { return m_section; }
    // Empty if the error concerns the whole section or file.
    const std::string& key() const { return m_key; }

private:
    std::string m_file;
    std::string m_section;
    std::string m_key;
};

} // namespace appleramp
