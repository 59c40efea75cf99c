#include "settings/ini_line_checker.h"

#include "settings/setting_descriptor.h"
#include "settings/settings_error.h"

#include <algorithm>

namespace appleramp {

namespace {

std::string trimmed(const std::string& line)
{
    const auto first = line.find_first_not_of(" \t\r");
    if (first == std::string::npos)
        return {};
    return line.substr(first, line.find_last_not_of(" \t\r") - first + 1);
}

bool isControl(char c)
{
    return (c >= 0 && c < ' ' && c != '\t') || c == '\x7f';
}

std::string knownSections()
{
    std::string names;
    std::string_view last;
    for (const setting_descriptor& setting : settingDescriptors()) {
        if (setting.section != last)
            names.append(" ").append(setting.section);
        last = setting.section;
    }
    return names;
}

std::string knownKeys(std::string_view section)
{
    std::string names;
    for (const setting_descriptor& setting : settingDescriptors()) {
        if (setting.section != section)
            continue;
        names.append(" ").append(setting.key);
        if (const std::string secondsKey = secondsKeyOf(setting); !secondsKey.empty())
            names.append(" ").append(secondsKey);
    }
    return names;
}

bool isDeclared(std::string_view section, std::string_view key)
{
    const auto descriptors = settingDescriptors();
    return std::any_of(descriptors.begin(), descriptors.end(),
        [&](const setting_descriptor& setting) { return setting.section == section && (setting.key == key || secondsKeyOf(setting) == key); });
}

} // namespace

ini_line_checker::ini_line_checker(std::string_view file)
    : m_file(file)
{
}

void ini_line_checker::check(const std::string& rawLine)
{
    ++m_lineNumber;
    const std::string line = trimmed(rawLine);
    if (line.empty() || line.front() == ';')
        return;
    if (std::any_of(line.begin(), line.end(), isControl))
        fail("", "contains a control character; remove it");
    if (line.front() == '[')
        return checkSection(line);
    checkKey(line);
}

void ini_line_checker::fail(std::string_view key, const std::string& problem) const
{
    throw settings_error(m_file, m_section, key, "line " + std::to_string(m_lineNumber) + " " + problem);
}

void ini_line_checker::checkSection(const std::string& line)
{
    m_section.clear();
    if (line.back() != ']')
        fail("", "does not close its section name; write it as [process]");
    m_section = trimmed(line.substr(1, line.size() - 2));
    if (knownKeys(m_section).empty())
        fail("", "names an unknown section; remove it, or write one of" + knownSections());
}

void ini_line_checker::checkKey(const std::string& line)
{
    const auto equals = line.find('=');
    if (equals == std::string::npos)
        fail("", "is neither a section, a comment nor a value; write it as key = value, or ; comment");
    const std::string key = trimmed(line.substr(0, equals));
    if (m_section.empty())
        fail(key, "is outside a section; put a section such as [process] before it");
    // An unknown section was reported with its own line.
    if (knownKeys(m_section).empty())
        return;
    if (!isDeclared(m_section, key))
        fail(key, "sets an unknown key; remove it, or write one of" + knownKeys(m_section));
    if (!m_seenKeys.emplace(m_section, key).second)
        fail(key, "sets the key a second time; keep one of them");
}

} // namespace appleramp
