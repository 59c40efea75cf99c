#include "appleramp/text_file.h"

#include "appleramp/command_error.h"

#include <fstream>

namespace appleramp {

namespace {

constexpr std::size_t maxFileBytes = 16UL * 1024 * 1024;

} // namespace

std::string readTextFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(maxFileBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (!file.is_open() || file.bad())
        throw command_error(path + ": can't be read; check the path and its permissions");
    if (text.size() > maxFileBytes)
        throw command_error(path + ": longer than " + std::to_string(maxFileBytes) + " bytes; shorten it");
    return text;
}

} // namespace appleramp
