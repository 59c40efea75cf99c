#pragma once

#include "appleramp/command_line.h"

#include <sstream>
#include <string>
#include <vector>

namespace appleramp {

// Exit code and output of one run of the command line.
struct command_run {
    int exitCode = 0;
    std::string out;
    std::string err;
};

inline command_run runCommand(const std::vector<std::string>& arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const int exitCode = runCommandLine(arguments, out, err);
    return { exitCode, out.str(), err.str() };
}

} // namespace appleramp
