#pragma once

#include "settings/process_settings.h"

#include <memory>
#include <string>

namespace appleramp {

// An agent as a running process: its link listener, its endpoint and its platform calls around one reducer.
class agent_process {
public:
    // Listens at once; throws runtime_error. An empty path records nothing.
    agent_process(const process_settings& settings, incarnation life, const std::string& recordPath);
    ~agent_process();
    agent_process(const agent_process&) = delete;
    agent_process& operator=(const agent_process&) = delete;

    std::uint16_t linkPort() const;
    std::uint16_t operationsPort() const;
    // Serves until a requested stop is complete.
    void run();
    // Begins a graceful shutdown. May be called from any thread.
    void requestStop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
