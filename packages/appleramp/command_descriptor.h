#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

// The arguments and the output stream of a running command. Flags are read from the gflags variables.
struct command_call {
    std::vector<std::string> arguments;
    std::ostream& out;
};

// Declares a command: its words, arguments and flags, its help text and the function that runs it. The parser and the
// help are derived from it.
struct command_descriptor {
    std::string_view words;
    // Names of the positional arguments, all of which are required.
    std::vector<std::string_view> arguments;
    // Names of the flags that the command accepts, as gflags spells them.
    std::vector<std::string_view> flags;
    std::string_view doc;
    // Throws usage_error or command_error.
    void (*run)(const command_call&) = nullptr;
};

// All commands, in the order in which the help lists them.
std::span<const command_descriptor> commandDescriptors();

} // namespace appleramp
