#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace appleramp {

enum exit_code {
    ExitDone = 0,
    // The order was refused, or could not be carried out.
    ExitFailed = 1,
    // The command line itself is wrong.
    ExitUsage = 2,
};

// Runs the operators' command line with the arguments after the program's name. Results go to `out`; what is wrong, in
// one line with what to do about it, goes to `err`. Returns an exit_code.
int runCommandLine(std::span<const std::string> arguments, std::ostream& out, std::ostream& err);

} // namespace appleramp
