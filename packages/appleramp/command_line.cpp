#include "appleramp/command_line.h"

#include "appleramp/command_descriptor.h"
#include "appleramp/command_error.h"
#include "appleramp/usage_error.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <optional>
#include <ostream>

namespace appleramp {

namespace {

constexpr std::string_view flagPrefix = "--";

// A parsed command line.
struct parsed_command_line {
    std::vector<std::string> words;
    // Names of the flags that were set, spelled with '_' in place of '-'.
    std::vector<std::string> flags;
    bool help = false;
};

std::string flagForDisplay(std::string name)
{
    std::replace(name.begin(), name.end(), '_', '-');
    return std::string(flagPrefix) + name;
}

bool isDeclaredFlag(const std::string& name)
{
    const auto commands = commandDescriptors();
    return std::any_of(commands.begin(), commands.end(), [&](const command_descriptor& command) {
        return std::find(command.flags.begin(), command.flags.end(), name) != command.flags.end();
    });
}

std::string valueDescription(const std::string& type)
{
    if (type == "bool")
        return "true or false";
    return type == "uint32" ? "whole number" : "text";
}

bool isBooleanFlag(const std::string& name) { return gflags::GetCommandLineFlagInfoOrDie(name.c_str()).type == "bool"; }

// Parses the arguments from left to right. Sets the gflags variables as it meets the flags.
class command_line_parser {
public:
    explicit command_line_parser(std::span<const std::string> arguments)
        : m_remaining(arguments)
    {
    }

    parsed_command_line parse()
    {
        while (!m_remaining.empty())
            parseNext(takeArgument());
        return m_result;
    }

private:
    std::string takeArgument()
    {
        std::string next = m_remaining.front();
        m_remaining = m_remaining.subspan(1);
        return next;
    }

    void parseNext(const std::string& argument)
    {
        if (argument == "--help" || argument == "-h")
            m_result.help = true;
        else if (argument == flagPrefix)
            takeRemainingAsWords();
        else if (argument.size() > 1 && argument.front() == '-')
            parseFlag(argument);
        else
            m_result.words.push_back(argument);
    }

    void takeRemainingAsWords()
    {
        m_result.words.insert(m_result.words.end(), m_remaining.begin(), m_remaining.end());
        m_remaining = {};
    }

    void parseFlag(const std::string& argument)
    {
        const auto equals = argument.find('=');
        std::string name = argument.substr(0, equals);
        name.erase(0, name.find_first_not_of('-'));
        std::replace(name.begin(), name.end(), '-', '_');
        if (!isDeclaredFlag(name))
            throw usage_error("unknown flag '" + argument.substr(0, equals) + "'; see appleramp --help");
        setFlag(name, valueOf(name, argument, equals));
        m_result.flags.push_back(name);
    }

    std::string valueOf(const std::string& name, const std::string& argument, std::size_t equals)
    {
        if (equals != std::string::npos)
            return argument.substr(equals + 1);
        if (isBooleanFlag(name))
            return "true";
        if (m_remaining.empty())
            throw usage_error(flagForDisplay(name) + " has no value; write " + flagForDisplay(name) + "=VALUE");
        return takeArgument();
    }

    static void setFlag(const std::string& name, const std::string& value)
    {
        if (!gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
            return;
        const auto type = gflags::GetCommandLineFlagInfoOrDie(name.c_str()).type;
        throw usage_error("'" + value + "' is not a valid value for " + flagForDisplay(name) + "; write " + valueDescription(type));
    }

    std::span<const std::string> m_remaining;
    parsed_command_line m_result;
};

std::string synopsis(const command_descriptor& command)
{
    std::string text = "appleramp " + std::string(command.words);
    for (const std::string_view argument : command.arguments)
        text.append(" ").append(argument);
    return text;
}

void printHelp(std::ostream& out)
{
    out << "appleramp: the operators' command line of appleramp\n\nCommands:\n";
    for (const command_descriptor& command : commandDescriptors())
        out << "  " << synopsis(command) << "\n      " << command.doc << '\n';
    out << "\nappleramp COMMAND --help lists the command's flags.\n"
           "Exit codes: 0 done, 1 refused or failed, 2 wrong command line.\n";
}

void printHelp(const command_descriptor& command, std::ostream& out)
{
    out << synopsis(command) << "\n    " << command.doc << '\n';
    out << "\nFlags:\n";
    for (const std::string_view name : command.flags) {
        const auto flag = gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str());
        out << "  " << flagForDisplay(flag.name) << " (" << valueDescription(flag.type);
        if (!flag.default_value.empty())
            out << ", default " << flag.default_value;
        out << ")\n      " << flag.description << '\n';
    }
}

std::vector<std::string> split(std::string_view words)
{
    std::vector<std::string> parts;
    while (true) {
        const auto space = words.find(' ');
        parts.emplace_back(words.substr(0, space));
        if (space == std::string_view::npos)
            return parts;
        words.remove_prefix(space + 1);
    }
}

const command_descriptor* findCommand(std::span<const std::string> words)
{
    for (const command_descriptor& command : commandDescriptors()) {
        const auto parts = split(command.words);
        if (words.size() >= parts.size() && std::equal(parts.begin(), parts.end(), words.begin()))
            return &command;
    }
    return nullptr;
}

// Lists the first words of all commands or, if a first word is given, the second words of the commands that start with
// it.
std::string knownWords(const std::optional<std::string>& first)
{
    std::vector<std::string> listed;
    for (const command_descriptor& command : commandDescriptors()) {
        const auto parts = split(command.words);
        const std::string& word = first ? parts.back() : parts.front();
        const bool matches = !first || parts.front() == *first;
        if (matches && std::find(listed.begin(), listed.end(), word) == listed.end())
            listed.push_back(word);
    }
    std::string text;
    for (const std::string& word : listed)
        text.append(" ").append(word);
    return text;
}

[[noreturn]] void throwUnknownCommand(std::span<const std::string> words)
{
    if (words.empty())
        throw usage_error("no command; write one of" + knownWords(std::nullopt) + ", or --help");
    const std::string second = knownWords(words.front());
    if (second.empty())
        throw usage_error("unknown command '" + words.front() + "'; write one of" + knownWords(std::nullopt));
    if (words.size() == 1)
        throw usage_error("'" + words.front() + "' needs one more word; write one of" + second);
    throw usage_error("unknown command '" + words.front() + ' ' + words[1] + "'; write " + words.front()
        + " with one of" + second);
}

void checkFlags(const command_descriptor& command, const parsed_command_line& line)
{
    for (const std::string& name : line.flags) {
        if (std::find(command.flags.begin(), command.flags.end(), name) == command.flags.end())
            throw usage_error(flagForDisplay(name) + " is not a flag of '" + std::string(command.words) + "'; see appleramp "
                + std::string(command.words) + " --help");
    }
}

std::vector<std::string> extractArguments(const command_descriptor& command, const parsed_command_line& line)
{
    std::vector<std::string> arguments = line.words;
    arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(split(command.words).size()));
    if (arguments.size() < command.arguments.size())
        throw usage_error(std::string(command.arguments[arguments.size()]) + " is missing; write " + synopsis(command));
    if (arguments.size() > command.arguments.size())
        throw usage_error(
            "'" + arguments[command.arguments.size()] + "' is one argument too many; write " + synopsis(command));
    return arguments;
}

void run(std::span<const std::string> arguments, std::ostream& out)
{
    const parsed_command_line line = command_line_parser(arguments).parse();
    if (line.help && line.words.empty())
        return printHelp(out);
    const command_descriptor* const command = findCommand(line.words);
    if (!command)
        throwUnknownCommand(line.words);
    if (line.help)
        return printHelp(*command, out);
    checkFlags(*command, line);
    command->run({ extractArguments(*command, line), out });
}

} // namespace

int runCommandLine(std::span<const std::string> arguments, std::ostream& out, std::ostream& err)
{
    const gflags::FlagSaver restoreFlags;
    try {
        run(arguments, out);
        return ExitDone;
    } catch (const usage_error& problem) {
        err << "appleramp: " << problem.what() << '\n';
        return ExitUsage;
    } catch (const error& problem) {
        err << "appleramp: " << problem.what() << '\n';
        return ExitFailed;
    }
}

} // namespace appleramp
