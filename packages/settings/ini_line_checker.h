#pragma once

#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace appleramp {

// Refuses what the INI library would pass over in silence: lines that it can't read, a key that is given twice, and
// sections and keys that no setting_descriptor declares.
class ini_line_checker {
public:
    explicit ini_line_checker(std::string_view file);

    // Takes the file's lines one after the other. Throws settings_error.
    void check(const std::string& rawLine);

private:
    [[noreturn]] void fail(std::string_view key, const std::string& problem) const;
    void checkSection(const std::string& line);
    void checkKey(const std::string& line);

    std::string m_file;
    std::string m_section;
    int m_number = 0;
    std::set<std::pair<std::string, std::string>> m_seen;
};

} // namespace appleramp
