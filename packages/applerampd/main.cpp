#include "direct_fleet.h"

#include "agent/agent_process.h"
#include "entry/entry_process.h"
#include "model/errors.h"
#include "observe/json_log.h"
#include "runtime/process_clock.h"
#include "runtime/stop_signal.h"
#include "settings/settings.h"
#include "settings/settings_error.h"

#include <gflags/gflags.h>

#include <unistd.h>

#include <algorithm>
#include <future>
#include <iostream>
#include <optional>
#include <span>
#include <string>

DEFINE_string(settings, "", "settings file of this process");
DEFINE_bool(check_settings, false, "check the settings file and exit");
DEFINE_bool(describe_settings, false, "print the reference of all settings and exit");
DEFINE_string(record, "", "file to which every event is written, for replay");

namespace {

using namespace appleramp;

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

log_severity logSeverity(log_level level)
{
    switch (level) {
    case log_level::Warning:
        return log_severity::Warning;
    case log_level::Error:
        return log_severity::Error;
    case log_level::Info:
        break;
    }
    return log_severity::Info;
}

// The first flag that gflags does not know. gflags itself would end the process with a message of its own format.
std::optional<std::string> findUnknownFlag(std::span<char* const> arguments)
{
    for (const std::string argument : arguments) {
        if (!argument.starts_with("-"))
            continue;
        std::string name = argument.substr(0, argument.find('='));
        name.erase(0, name.find_first_not_of('-'));
        std::replace(name.begin(), name.end(), '-', '_');
        gflags::CommandLineFlagInfo known;
        const bool isNegation = name.starts_with("no") && gflags::GetCommandLineFlagInfo(name.substr(2).c_str(), &known);
        if (!isNegation && !gflags::GetCommandLineFlagInfo(name.c_str(), &known))
            return argument;
    }
    return std::nullopt;
}

// Prints the ports in use as one JSON line: with port 0 in the settings they are known only to this process.
void printPorts(const entry_process& process)
{
    const auto ports = process.ports();
    std::cout << "{\"callers\":" << ports.callers << ",\"operations\":" << ports.operations
              << ",\"links\":" << ports.links << "}" << std::endl;
}

void printPorts(const agent_process& process)
{
    std::cout << "{\"operations\":" << process.operationsPort() << ",\"links\":" << process.linkPort() << "}"
              << std::endl;
}

// Processes of direct fleets log to standard output, where their operators collect logs.
bool isDirect(process_role role) { return role == process_role::DirectEntry || role == process_role::DirectAgent; }

// The process is constructed after stop_signal has blocked the signals, since its threads inherit the signal mask.
template <typename Process>
void run(const process_settings& settings, incarnation life)
{
    std::promise<Process*> started;
    const auto process = started.get_future().share();
    const stop_signal signal([process] { process.get()->requestStop(); });
    Process running(settings, life, FLAGS_record);
    started.set_value(&running);
    printPorts(running);
    running.run();
}

void runProcess(const process_settings& settings, incarnation life)
{
    if (settings.process.role == process_role::Entry)
        run<entry_process>(settings, life);
    else if (settings.process.role == process_role::Agent)
        run<agent_process>(settings, life);
    else
        runDirectProcess(settings, life, FLAGS_settings);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("one process of the load balancer, entry or agent as its settings say\n"
                            "  applerampd --settings FILE [--check-settings] [--record FILE]\n"
                            "  applerampd --describe-settings");
    if (const auto flag = findUnknownFlag(std::span(argv, static_cast<std::size_t>(argc)).subspan(1))) {
        std::cerr << "applerampd: unknown flag '" << *flag << "'; see applerampd --help\n";
        return exitUsage;
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_describe_settings) {
        std::cout << describeSettings();
        return 0;
    }
    if (FLAGS_settings.empty() || argc > 1) {
        std::cerr << "applerampd: name a settings file: applerampd --settings FILE\n";
        return exitUsage;
    }
    try {
        const auto problems = findSettingsErrors(FLAGS_settings);
        for (const settings_error& problem : problems)
            std::cerr << "applerampd: " << problem.what() << '\n';
        if (!problems.empty() || FLAGS_check_settings)
            return problems.empty() ? 0 : exitFailure;
        const auto settings = loadSettings(FLAGS_settings);
        const incarnation life = newIncarnation();
        installJsonLog({ settings.process.instance, settings.process.zone, life }, logSeverity(settings.observe.logLevel),
            isDirect(settings.process.role) ? STDOUT_FILENO : STDERR_FILENO);
        logInfo("started");
        runProcess(settings, life);
        logInfo("stopped");
        return 0;
    } catch (const error& cause) {
        std::cerr << "applerampd: " << cause.what() << '\n';
        return exitFailure;
    }
}
