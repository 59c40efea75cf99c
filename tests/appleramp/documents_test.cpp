#include "appleramp/command_descriptor.h"
#include "settings/settings.h"

#include <criterion/criterion.h>

#include <fstream>
#include <sstream>

using namespace appleramp;

namespace {

std::string readInterfacesPage()
{
    const std::ifstream file("docs/INTERFACES.md");
    cr_assert(file.good());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

Test(documents, the_settings_reference_is_made_from_the_declarations)
{
    const std::string text = readInterfacesPage();
    const auto begin = text.find("<!-- settings: begin");
    const auto end = text.find("<!-- settings: end -->");
    cr_assert(begin != std::string::npos && end != std::string::npos);
    const auto tableAt = text.find('\n', begin) + 1;
    cr_assert(text.substr(tableAt, end - tableAt) == describeSettings(),
        "put the output of applerampd --describe-settings between the marks of docs/INTERFACES.md");
}

Test(documents, every_command_is_described)
{
    const std::string text = readInterfacesPage();
    for (const command_descriptor& command : commandDescriptors()) {
        std::string synopsis = '`' + std::string(command.words);
        for (const std::string_view argument : command.arguments)
            synopsis.append(" ").append(argument);
        cr_assert(text.find(synopsis) != std::string::npos, "%s", synopsis.c_str());
    }
}
