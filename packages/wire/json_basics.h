#pragma once

// JSON conversions of the basic types, for this package's .cpp files. Not for use outside the package.

#include "model/enum_names.h"
#include "model/identifiers.h"
#include "model/time.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>

namespace nlohmann {

template <typename Tag>
struct adl_serializer<appleramp::identifier<Tag>> {
    static void to_json(json& document, const appleramp::identifier<Tag>& value) { document = value.str(); }
    static void from_json(const json& document, appleramp::identifier<Tag>& value)
    {
        value = appleramp::identifier<Tag>(document.get<std::string>());
    }
};

// Durations and instants are encoded as counts of microseconds.
template <>
struct adl_serializer<appleramp::duration> {
    static void to_json(json& document, const appleramp::duration& value) { document = value.count(); }
    static void from_json(const json& document, appleramp::duration& value)
    {
        value = appleramp::duration(document.get<appleramp::duration::rep>());
    }
};

template <>
struct adl_serializer<appleramp::instant> {
    static void to_json(json& document, const appleramp::instant& value)
    {
        document = value.time_since_epoch().count();
    }
    static void from_json(const json& document, appleramp::instant& value)
    {
        value = appleramp::instant(appleramp::duration(document.get<appleramp::duration::rep>()));
    }
};

// An enumerator is encoded as its text in enum_names; decoding an unknown text is an error.
template <typename Enumeration>
struct adl_serializer<Enumeration, std::enable_if_t<std::is_enum_v<Enumeration>>> {
    static void to_json(json& document, const Enumeration& value) { document = appleramp::nameOf(value); }
    static void from_json(const json& document, Enumeration& value)
    {
        const auto& word = document.get_ref<const std::string&>();
        const auto known = appleramp::fromName<Enumeration>(word);
        if (!known)
            throw json::other_error::create(501, "unknown word '" + word + "'", &document);
        value = *known;
    }
};

template <typename Value>
struct adl_serializer<std::optional<Value>> {
    static void to_json(json& document, const std::optional<Value>& value)
    {
        if (value)
            document = *value;
        else
            document = nullptr;
    }
    static void from_json(const json& document, std::optional<Value>& value)
    {
        if (document.is_null())
            value.reset();
        else
            value = document.get<Value>();
    }
};

// A variant is encoded as {"type": name of the alternative, "value": the alternative}.
template <typename... Alternatives>
struct adl_serializer<std::variant<Alternatives...>> {
    static void to_json(json& document, const std::variant<Alternatives...>& value)
    {
        std::visit(
            [&document](const auto& alternative) {
                document = json { { "type", std::decay_t<decltype(alternative)>::name }, { "value", alternative } };
            },
            value);
    }
    static void from_json(const json& document, std::variant<Alternatives...>& value)
    {
        const auto& name = document.at("type").get_ref<const std::string&>();
        const auto& content = document.at("value");
        const bool known = (readAs<Alternatives>(name, content, value) || ...);
        if (!known)
            throw json::other_error::create(501, "unknown type '" + name + "'", &document);
    }

private:
    template <typename Alternative>
    static bool readAs(const std::string& name, const json& content, std::variant<Alternatives...>& value)
    {
        if (name != Alternative::name)
            return false;
        value = content.get<Alternative>();
        return true;
    }
};

} // namespace nlohmann

namespace appleramp {

// JSON text must be Unicode, so strings with bytes outside ASCII are encoded as binary values.
inline nlohmann::json bytesToJson(const std::string& bytes)
{
    const bool plain = std::all_of(bytes.begin(), bytes.end(), [](unsigned char byte) { return byte < 0x80; });
    if (plain)
        return bytes;
    return nlohmann::json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

inline std::string bytesFromJson(const nlohmann::json& document)
{
    if (document.is_string())
        return document.get<std::string>();
    if (document.is_binary()) {
        const auto& binary = document.get_binary();
        return { binary.begin(), binary.end() };
    }
    const auto numbers = document.at("bytes").get<std::vector<std::uint8_t>>();
    return { numbers.begin(), numbers.end() };
}

} // namespace appleramp
