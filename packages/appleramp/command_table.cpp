#include "appleramp/command_descriptor.h"
#include "appleramp/commands.h"

namespace appleramp {

std::span<const command_descriptor> commandDescriptors()
{
    static const std::vector<command_descriptor> descriptors = {
        { "config check", { "FILE" }, { "json" },
            "Checks a file without changing anything: a process's settings (INI), or a fleet configuration (JSON).",
            checkConfiguration },
        { "config get", {}, { "entry", "timeout_ms", "json" }, "Prints the fleet configuration.", getConfiguration },
        { "config put", { "FILE" }, { "entry", "timeout_ms", "json" },
            "Commits the defaults and services of a fleet configuration (JSON, as config get --json prints it). The "
            "file's version must be the one in force.",
            putConfiguration },
        { "exception add", { "TEAM" }, { "team_limit", "reason", "entry", "timeout_ms", "change_id", "json" },
            "Gives a team its own limit in place of the default. The reason is kept.", addException },
        { "exception remove", { "TEAM" }, { "entry", "timeout_ms", "change_id", "json" },
            "Puts a team back under the defaults.", removeException },
        { "zone out", { "ZONE" }, { "entry", "timeout_ms", "change_id", "json" },
            "Takes an availability zone out of service: it receives no new work; work in flight finishes.",
            takeZoneOut },
        { "zone in", { "ZONE" }, { "entry", "timeout_ms", "change_id", "json" },
            "Takes an availability zone back into service.", takeZoneIn },
        { "instance out", { "INSTANCE" }, { "entry", "timeout_ms", "change_id", "json" },
            "Takes an instance out of service: it receives no new work; work in flight finishes.", takeInstanceOut },
        { "instance in", { "INSTANCE" }, { "entry", "timeout_ms", "change_id", "json" },
            "Takes an instance back into service.", takeInstanceIn },
        { "status", {}, { "entry", "timeout_ms", "json" }, "Prints what an entry knows of itself and the endpoints.",
            showStatus },
        { "explain", { "SUBJECT" }, { "entry", "timeout_ms", "json" },
            "Prints the decisions on a request (its trace) or an endpoint, with their reasons.", explainSubject },
        { "replay", { "TRACE" }, { "expect", "json" },
            "Runs a recorded trace through the reducer; prints its effects, or compares them with stated outcomes.",
            replayRecording },
    };
    return descriptors;
}

} // namespace appleramp
