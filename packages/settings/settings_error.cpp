#include "settings/settings_error.h"

namespace appleramp {

namespace {

std::string formatMessage(
    std::string_view file, std::string_view section, std::string_view key, std::string_view problem)
{
    std::string text(file);
    if (!section.empty())
        text.append(": [").append(section).append("]");
    if (!key.empty())
        text.append(section.empty() ? ": " : " ").append(key);
    text.append(": ").append(problem);
    return text;
}

} // namespace

settings_error::settings_error(
    std::string_view file, std::string_view section, std::string_view key, std::string_view problem)
    : error(formatMessage(file, section, key, problem))
    , m_file(file)
    , m_section(section)
    , m_key(key)
{
}

} // namespace appleramp
