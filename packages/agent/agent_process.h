#pragma once

#include "settings/process_settings.h"

#include <memory>
#include <string>

namespace appleramp {

// Runs an agent. Owns the reducer's loop and connects it to the link listener, the endpoint and the platform's services.
class agent_process {
public:
    // Starts to listen; throws runtime_error on failure. Events are recorded to recordPath unless it is empty.
    agent_process(const process_settings& settings, incarnation life, const std::string& recordPath);
    ~agent_process();
    agent_process(const agent_process&) = delete;
    agent_process& operator=(const agent_process&) = delete;

    std::uint16_t linkPort() const;
    std::uint16_t operationsPort() const;
    // Blocks until a shutdown that requestStop() began is complete.
    void run();
    // Begins a graceful shutdown. Thread-safe.
    void requestStop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
