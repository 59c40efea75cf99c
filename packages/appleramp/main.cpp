#include "appleramp/command_line.h"

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return appleramp::runCommandLine(arguments, std::cout, std::cerr);
}
