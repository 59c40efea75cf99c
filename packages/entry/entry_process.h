#pragma once

#include "settings/process_settings.h"

#include <memory>
#include <string>

namespace appleramp {

struct entry_ports {
    std::uint16_t callers = 0;
    std::uint16_t operations = 0;
    std::uint16_t links = 0;
};

// An entry as a running process: its listeners, its links and its platform calls around one reducer.
class entry_process {
public:
    // Listens at once; throws runtime_error. An empty path records nothing.
    entry_process(const process_settings& settings, incarnation life, const std::string& recordPath);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    entry_ports ports() const;
    // Serves until a requested stop is complete.
    void run();
    // Begins a graceful shutdown. May be called from any thread.
    void requestStop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
