#pragma once

#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace appleramp {

// Rejects what the INI library accepts or ignores without an error: malformed lines, duplicate keys, and sections and
// keys that no setting_descriptor declares.
class ini_line_checker {
public:
    explicit ini_line_checker(std::string_view file);

    // Checks the next line of the file; the lines must be passed in order. Throws settings_error.
    void check(const std::string& rawLine);

private:
    [[noreturn]] void fail(std::string_view key, const std::string& problem) const;
    void checkSection(const std::string& line);
    void checkKey(const std::string& line);

    std::string m_file;
    std::string m_section;
    int m_lineNumber = 0;
    std::set<std::pair<std::string, std::string>> m_seenKeys;
};

} // namespace appleramp
