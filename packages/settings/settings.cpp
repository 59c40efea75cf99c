#include "settings/settings.h"

#include "model/enum_names.h"
#include "settings/bad_setting_value.h"
#include "settings/ini_line_checker.h"
#include "settings/setting_descriptor.h"
#include "settings/settings_error.h"

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/Util/IniFileConfiguration.h>

#include <algorithm>
#include <fstream>
#include <istream>
#include <optional>
#include <sstream>
#include <utility>

namespace appleramp {

namespace {

constexpr std::size_t maxFileBytes = 64UL * 1024;

using ini_file = Poco::AutoPtr<Poco::Util::IniFileConfiguration>;

std::string readBounded(std::istream& input, std::string_view file)
{
    std::string text(maxFileBytes + 1, '\0');
    input.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(input.gcount()));
    if (text.size() > maxFileBytes)
        throw settings_error(file, "", "", "longer than " + std::to_string(maxFileBytes) + " bytes; shorten it");
    return text;
}

// Runs the check, and keeps the problem that it throws.
template <typename Check>
void collect(std::vector<settings_error>& problems, const Check& check)
{
    try {
        check();
    } catch (const settings_error& problem) {
        problems.push_back(problem);
    }
}

void checkLines(std::vector<settings_error>& problems, const std::string& text, std::string_view file)
{
    ini_line_checker checker(file);
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
        collect(problems, [&] { checker.check(line); });
}

ini_file readIni(const std::string& text, std::string_view file)
{
    try {
        std::istringstream input(text);
        return new Poco::Util::IniFileConfiguration(input);
    } catch (const Poco::Exception& failure) {
        throw settings_error(file, "", "", "can't be read as INI (" + failure.displayText() + "); correct the syntax");
    }
}

std::string roleNames(const setting_descriptor& setting)
{
    std::string names;
    for (const process_role role : setting.roles)
        names.append(names.empty() ? "" : ", ").append(nameOf(role));
    return names;
}

bool appliesTo(const setting_descriptor& setting, process_role role)
{
    return setting.roles.empty() || std::find(setting.roles.begin(), setting.roles.end(), role) != setting.roles.end();
}

// A value of the file, and the key under which it stands.
struct given_value {
    std::string key;
    std::string text;
    time_unit unit = time_unit::Milliseconds;
};

std::optional<given_value> findGiven(const setting_descriptor& setting, const ini_file& ini, std::string_view file)
{
    const auto pathOf = [&setting](std::string_view key) { return std::string(setting.section).append(".").append(key); };
    const std::string key(setting.key);
    const std::string secondsKey = secondsKeyOf(setting);
    const bool isGiven = ini->hasProperty(pathOf(key));
    const bool isGivenInSeconds = !secondsKey.empty() && ini->hasProperty(pathOf(secondsKey));
    if (isGiven && isGivenInSeconds)
        throw settings_error(file, setting.section, secondsKey, "sets " + key + " a second time; keep one of them");
    if (isGivenInSeconds)
        return given_value { secondsKey, ini->getRawString(pathOf(secondsKey)), time_unit::Seconds };
    return isGiven ? std::optional(given_value { key, ini->getRawString(pathOf(key)) }) : std::nullopt;
}

void assign(process_settings& settings, const setting_descriptor& setting, const given_value& given, std::string_view file)
{
    try {
        setting.assign(settings, parseSettingValue(setting, given.text, given.unit));
    } catch (const bad_setting_value& problem) {
        throw settings_error(file, setting.section, given.key, problem.what());
    }
}

void readSetting(process_settings& settings, const setting_descriptor& setting, const ini_file& ini, std::string_view file)
{
    const auto given = findGiven(setting, ini, file);
    if (!appliesTo(setting, settings.process.role)) {
        if (given)
            throw settings_error(file, setting.section, given->key, "only a process of role " + roleNames(setting) + " has this key; remove it");
        return;
    }
    if (!given && !setting.defaultValue)
        throw settings_error(file, setting.section, setting.key, "missing; add it: " + std::string(setting.doc));
    // A template leaves the value empty where the deployment does not state the figure.
    const bool isStated = given && !(given->text.empty() && setting.defaultValue);
    assign(settings, setting, isStated ? *given : given_value { std::string(setting.key), std::string(*setting.defaultValue) }, file);
}

void checkRelatedValues(const process_settings& settings, std::string_view file)
{
    if (settings.endpoint.coldSlots > settings.endpoint.capacity)
        throw settings_error(file, "endpoint", "cold_slots", "more than capacity; write at most " + std::to_string(settings.endpoint.capacity));
}

std::string_view typeName(const setting_descriptor& setting)
{
    switch (setting.type) {
    case setting_type::Name:
        return "name";
    case setting_type::Choice:
        return "choice";
    case setting_type::Integer:
        return "integer";
    case setting_type::Duration:
        return setting.rounding == rounding::Down ? "duration, rounded down" : "duration, rounded up";
    case setting_type::Fraction:
        return "number";
    case setting_type::Address:
        return "IPv4 address:port";
    case setting_type::Url:
        return "http URL";
    case setting_type::NameList:
        break;
    }
    return "names";
}

std::string milliseconds(std::int64_t microseconds)
{
    constexpr std::int64_t microsecondsPerMillisecond = 1000;
    if (microseconds % microsecondsPerMillisecond == 0)
        return std::to_string(microseconds / microsecondsPerMillisecond);
    std::ostringstream text;
    text << static_cast<double>(microseconds) / static_cast<double>(microsecondsPerMillisecond);
    return text.str();
}

std::string allowedValues(const setting_descriptor& setting)
{
    if (setting.type == setting_type::Integer)
        return std::to_string(setting.minimum) + " to " + std::to_string(setting.maximum);
    if (setting.type == setting_type::Duration)
        return milliseconds(setting.minimum) + " to " + milliseconds(setting.maximum);
    std::string range;
    for (const std::string_view choice : setting.choices)
        range.append(range.empty() ? "" : ", ").append(choice);
    return range;
}

std::string defaultText(const setting_descriptor& setting)
{
    if (!setting.defaultValue)
        return "required";
    return setting.defaultValue->empty() ? "empty" : std::string(*setting.defaultValue);
}

struct settings_reading {
    process_settings settings;
    std::vector<settings_error> problems;
};

settings_reading readSettings(std::istream& input, std::string_view file)
{
    settings_reading result;
    const std::string text = readBounded(input, file);
    checkLines(result.problems, text, file);
    ini_file ini;
    collect(result.problems, [&] { ini = readIni(text, file); });
    if (!ini)
        return result;
    for (const setting_descriptor& setting : settingDescriptors()) {
        const std::size_t before = result.problems.size();
        collect(result.problems, [&] { readSetting(result.settings, setting, ini, file); });
        // The role, which comes first, decides which keys are allowed.
        const bool isRole = &setting == &settingDescriptors().front();
        if (isRole && result.problems.size() > before)
            return result;
    }
    if (result.problems.empty())
        collect(result.problems, [&] { checkRelatedValues(result.settings, file); });
    return result;
}

std::ifstream openSettings(const std::string& path)
{
    std::ifstream input(path, std::ios::binary);
    if (!input)
        throw settings_error(path, "", "", "can't be opened; check the path and its permissions");
    return input;
}

} // namespace

process_settings parseSettings(std::istream& input, std::string_view sourceName)
{
    settings_reading reading = readSettings(input, sourceName);
    if (!reading.problems.empty())
        throw settings_error(reading.problems.front());
    return std::move(reading.settings);
}

process_settings loadSettings(const std::string& path)
{
    std::ifstream input = openSettings(path);
    return parseSettings(input, path);
}

std::vector<settings_error> findSettingsErrors(const std::string& path)
{
    std::vector<settings_error> problems;
    collect(problems, [&] {
        std::ifstream input = openSettings(path);
        problems = readSettings(input, path).problems;
    });
    return problems;
}

std::string describeSettings()
{
    std::ostringstream table;
    table << "| Section | Key | Role | Type | Unit | Default | Range | Meaning |\n";
    table << "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const setting_descriptor& setting : settingDescriptors()) {
        table << "| `" << setting.section << "` | `" << setting.key << "` | "
              << (setting.roles.empty() ? "all" : roleNames(setting)) << " | " << typeName(setting) << " | "
              << setting.unit << " | " << defaultText(setting) << " | " << allowedValues(setting) << " | " << setting.doc
              << " |\n";
    }
    return table.str();
}

} // namespace appleramp
