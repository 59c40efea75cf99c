#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

// What a running command is given. The flags are gflags variables.
struct command_call {
    std::vector<std::string> arguments;
    std::ostream& out;
};

// The one declaration of a command: its words, its arguments, its flags, its help and what it does.
struct command_descriptor {
    std::string_view words;
    // Names of its arguments; each must be given.
    std::vector<std::string_view> arguments;
    // Names of the flags that it takes.
    std::vector<std::string_view> flags;
    std::string_view doc;
    // Throws usage_error or command_error.
    void (*run)(const command_call&) = nullptr;
};

// Every command, in the order of the help.
std::span<const command_descriptor> commandDescriptors();

} // namespace appleramp
