#include "appleramp/human_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace appleramp {

namespace {

constexpr std::size_t indentWidth = 2;

std::string scalarText(const nlohmann::json& value)
{
    if (value.is_string())
        return value.get<std::string>();
    return value.is_null() ? "none" : value.dump();
}

bool isFlat(const nlohmann::json& record)
{
    return std::none_of(record.begin(), record.end(), [](const nlohmann::json& value) { return value.is_structured(); });
}

std::string recordText(const nlohmann::json& record)
{
    std::string text;
    for (const auto& [name, value] : record.items())
        text += (text.empty() ? "" : "  ") + name + '=' + scalarText(value);
    return text;
}

class text_writer {
public:
    std::string take() { return std::move(m_text); }

    void write(const nlohmann::json& value, std::size_t depth)
    {
        if (value.is_object())
            writeObject(value, depth);
        else if (value.is_array())
            writeArray(value, depth);
        else
            writeLine(depth, scalarText(value));
    }

private:
    void writeLine(std::size_t depth, const std::string& line)
    {
        m_text.append(depth * indentWidth, ' ').append(line).append("\n");
    }

    void writeObject(const nlohmann::json& object, std::size_t depth)
    {
        for (const auto& [name, value] : object.items()) {
            if (!value.is_structured()) {
                writeLine(depth, name + ": " + scalarText(value));
            } else if (value.empty()) {
                writeLine(depth, name + ": none");
            } else {
                writeLine(depth, name + ":");
                write(value, depth + 1);
            }
        }
    }

    void writeArray(const nlohmann::json& array, std::size_t depth)
    {
        for (const auto& element : array) {
            if (!element.is_structured())
                writeLine(depth, "- " + scalarText(element));
            else if (element.is_object() && isFlat(element))
                writeLine(depth, "- " + recordText(element));
            else
                writeNested(element, depth);
        }
    }

    void writeNested(const nlohmann::json& element, std::size_t depth)
    {
        writeLine(depth, "-");
        write(element, depth + 1);
    }

    std::string m_text;
};

} // namespace

std::string humanText(const nlohmann::json& document)
{
    text_writer writer;
    writer.write(document, 0);
    return writer.take();
}

} // namespace appleramp
