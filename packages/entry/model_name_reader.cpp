#include "entry/model_name_reader.h"

#include <nlohmann/json.hpp>

namespace appleramp {

namespace {

constexpr std::string_view modelMember = "model";

// SAX handler that stores only the string member "model" of the outermost object. Its method names are prescribed by the
// JSON library.
// NOLINTBEGIN(readability-identifier-naming)
class model_name_finder : public nlohmann::json_sax<nlohmann::json> {
public:
    std::optional<std::string> takeName() { return std::move(m_name); }

    bool null() override { return endValue(); }
    bool boolean(bool /*value*/) override { return endValue(); }
    bool number_integer(number_integer_t /*value*/) override { return endValue(); }
    bool number_unsigned(number_unsigned_t /*value*/) override { return endValue(); }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return endValue(); }
    bool binary(binary_t& /*value*/) override { return endValue(); }

    bool string(string_t& value) override
    {
        if (m_isModelNext)
            m_name = std::move(value);
        return endValue();
    }

    bool start_object(std::size_t /*elements*/) override
    {
        ++m_depth;
        return endValue();
    }
    bool end_object() override
    {
        --m_depth;
        return true;
    }
    // Parsing stops at an outermost array, which has no members.
    bool start_array(std::size_t /*elements*/) override
    {
        if (m_depth == 0)
            return false;
        ++m_depth;
        return endValue();
    }
    bool end_array() override
    {
        --m_depth;
        return true;
    }
    bool key(string_t& name) override
    {
        m_isModelNext = m_depth == 1 && name == modelMember;
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string& /*last*/,
        const nlohmann::json::exception& /*cause*/) override
    {
        return false;
    }

private:
    bool endValue()
    {
        m_isModelNext = false;
        return true;
    }

    std::size_t m_depth = 0;
    bool m_isModelNext = false;
    std::optional<std::string> m_name;
};
// NOLINTEND(readability-identifier-naming)

} // namespace

std::optional<std::string> readModelName(std::string_view json)
{
    model_name_finder finder;
    if (!nlohmann::json::sax_parse(json.begin(), json.end(), &finder))
        return std::nullopt;
    return finder.takeName();
}

} // namespace appleramp
