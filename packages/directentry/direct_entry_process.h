#pragma once

#include "settings/process_settings.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace appleramp {

class platform_adapter;
class row_store;

struct direct_entry_ports {
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t directory = 0;
    std::uint16_t operations = 0;
};

// The process of an entry that sends requests to endpoints directly, without agents in between: a single-threaded event
// loop that feeds events to the forwarding reducer and executes its effects.
class direct_entry_process {
public:
    // Opens the listening ports. Throws http_error if one can't be opened.
    direct_entry_process(boost::asio::io_context& loop, const process_settings& settings, incarnation life, row_store& store,
        const platform_adapter& platform);
    ~direct_entry_process();
    direct_entry_process(const direct_entry_process&) = delete;
    direct_entry_process& operator=(const direct_entry_process&) = delete;

    direct_entry_ports ports() const;
    // Begins a graceful shutdown; stops the loop when it is complete.
    void requestStop();
    // Errors that the settings file has for the next start.
    void noteSettingsErrors(std::size_t errors);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
