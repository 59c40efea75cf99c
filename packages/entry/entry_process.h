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

// Runs an entry. Owns the reducer's loop and connects it to the HTTP listeners, the links to other processes and the
// platform's services.
class entry_process {
public:
    // Starts to listen; throws runtime_error on failure. Events are recorded to recordPath unless it is empty.
    entry_process(const process_settings& settings, incarnation life, const std::string& recordPath);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    entry_ports ports() const;
    // Blocks until a shutdown that requestStop() began is complete.
    void run();
    // Begins a graceful shutdown. Thread-safe.
    void requestStop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
