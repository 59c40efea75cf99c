#include "settings/setting_value.h"

#include "settings/bad_setting_value.h"
#include "settings/setting_descriptor.h"

#include <Poco/Exception.h>
#include <Poco/Net/IPAddress.h>
#include <Poco/URI.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace appleramp {

namespace {

constexpr std::size_t maxQuotedBytes = 80;

std::string quoted(std::string_view text)
{
    std::string result = "\"";
    for (const char c : text.substr(0, maxQuotedBytes))
        result.push_back(c >= ' ' && c <= '~' ? c : '?');
    result.append(text.size() > maxQuotedBytes ? "...\"" : "\"");
    return result;
}

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.'
        || c == ':' || c == '/';
}

std::string parseName(std::string_view text)
{
    if (text.empty())
        throw bad_setting_value("the value is empty; write a name");
    if (!std::all_of(text.begin(), text.end(), isNameCharacter))
        throw bad_setting_value(quoted(text) + " is not a name; use letters, digits and - _ . : / only");
    return std::string(text);
}

std::string parseChoice(const setting_descriptor& setting, std::string_view text)
{
    if (std::find(setting.choices.begin(), setting.choices.end(), text) != setting.choices.end())
        return std::string(text);
    std::string problem = quoted(text) + " is not known; write one of";
    for (const std::string_view choice : setting.choices)
        problem.append(" ").append(choice);
    throw bad_setting_value(problem);
}

std::int64_t parseInteger(const setting_descriptor& setting, std::string_view text)
{
    std::int64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto [parseEnd, errorCode] = std::from_chars(text.data(), end, value);
    const std::string range = std::to_string(setting.minimum) + " to " + std::to_string(setting.maximum);
    if (errorCode == std::errc::invalid_argument || parseEnd != end)
        throw bad_setting_value(quoted(text) + " is not a whole number; write one from " + range);
    if (errorCode != std::errc() || value < setting.minimum || value > setting.maximum)
        throw bad_setting_value(quoted(text) + " is out of range; write a number from " + range);
    return value;
}

double parseNumber(std::string_view text)
{
    double value = 0;
    const char* const end = text.data() + text.size();
    const auto [parseEnd, errorCode] = std::from_chars(text.data(), end, value);
    if (errorCode != std::errc() || parseEnd != end || !std::isfinite(value))
        throw bad_setting_value(quoted(text) + " is not a number; write one such as 0.5");
    return value;
}

double roundedTo(rounding rounding, double value)
{
    // Parts of a microsecond that the conversion of a decimal number may add or take away.
    constexpr double conversionError = 1e-3;
    const double nearest = std::round(value);
    if (std::abs(value - nearest) < conversionError)
        return nearest;
    return rounding == rounding::Down ? std::floor(value) : std::ceil(value);
}

std::string decimal(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

duration parseDuration(const setting_descriptor& setting, std::string_view text, time_unit unit)
{
    const double microsecondsPerUnit = unit == time_unit::Seconds ? 1e6 : 1e3;
    const double microseconds = roundedTo(setting.rounding, parseNumber(text) * microsecondsPerUnit);
    if (microseconds < static_cast<double>(setting.minimum) || microseconds > static_cast<double>(setting.maximum))
        throw bad_setting_value(quoted(text) + " is out of range; write a number from " + decimal(static_cast<double>(setting.minimum) / microsecondsPerUnit)
            + " to " + decimal(static_cast<double>(setting.maximum) / microsecondsPerUnit));
    return duration(static_cast<duration::rep>(microseconds));
}

double parseFraction(const setting_descriptor& setting, std::string_view text)
{
    constexpr double thousandthsPerUnit = 1000.0;
    const double value = parseNumber(text);
    if (value * thousandthsPerUnit < static_cast<double>(setting.minimum) || value * thousandthsPerUnit > static_cast<double>(setting.maximum))
        throw bad_setting_value(quoted(text) + " is out of range; write a number from " + std::to_string(static_cast<double>(setting.minimum) / thousandthsPerUnit)
            + " to " + std::to_string(static_cast<double>(setting.maximum) / thousandthsPerUnit));
    return value;
}

socket_address parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    const std::string host(text.substr(0, colon == std::string_view::npos ? 0 : colon));
    const std::string_view digits = colon == std::string_view::npos ? text : text.substr(colon + 1);
    Poco::Net::IPAddress ip;
    std::uint16_t port = 0;
    const auto [parseEnd, errorCode] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool isPortValid = errorCode == std::errc() && parseEnd == digits.data() + digits.size();
    if (!isPortValid || !Poco::Net::IPAddress::tryParse(host, ip) || ip.family() != Poco::Net::IPAddress::IPv4)
        throw bad_setting_value(quoted(text) + " is not a numeric IPv4 address and port; write it as 127.0.0.1:8080");
    return { host, port };
}

bool isHttpUrl(const std::string& text)
{
    try {
        const Poco::URI url(text);
        return url.getScheme() == "http" && !url.getHost().empty();
    } catch (const Poco::Exception&) {
        return false;
    }
}

std::string parseUrl(std::string_view text)
{
    std::string url(text);
    if (!isHttpUrl(url))
        throw bad_setting_value(quoted(text) + " is not a URL; write it as http://127.0.0.1:8080");
    while (url.back() == '/')
        url.pop_back();
    return url;
}

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::vector<std::string> parseNameList(std::string_view text)
{
    std::vector<std::string> names;
    while (true) {
        const auto comma = text.find(',');
        names.push_back(parseName(trimmed(text.substr(0, comma))));
        if (comma == std::string_view::npos)
            return names;
        text.remove_prefix(comma + 1);
    }
}

} // namespace

setting_value parseSettingValue(const setting_descriptor& setting, std::string_view text, time_unit unit)
{
    const bool isEmptyAllowed = setting.defaultValue && setting.defaultValue->empty();
    if (text.empty() && isEmptyAllowed) {
        if (setting.type == setting_type::NameList)
            return std::vector<std::string> {};
        return std::string();
    }
    switch (setting.type) {
    case setting_type::Name:
        return parseName(text);
    case setting_type::Choice:
        return parseChoice(setting, text);
    case setting_type::Integer:
        return parseInteger(setting, text);
    case setting_type::Duration:
        return parseDuration(setting, text, unit);
    case setting_type::Fraction:
        return parseFraction(setting, text);
    case setting_type::Address:
        return parseAddress(text);
    case setting_type::Url:
        return parseUrl(text);
    case setting_type::NameList:
        break;
    }
    return parseNameList(text);
}

} // namespace appleramp
