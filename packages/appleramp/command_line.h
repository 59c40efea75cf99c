#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace appleramp {

enum exit_code {
    ExitDone = 0,
    // The command was refused or failed.
    ExitFailed = 1,
    // The command line is invalid.
    ExitUsage = 2,
};

// Runs the operators' command line. `arguments` excludes the program name. Results are written to `out`; an error is
// written to `err` as one line with its remedy. Returns an exit_code.
int runCommandLine(std::span<const std::string> arguments, std::ostream& out, std::ostream& err);

} // namespace appleramp
