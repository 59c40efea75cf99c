#pragma once

#include "settings/process_settings.h"

#include <memory>

namespace boost::asio {
class io_context;
}

namespace appleramp {

class platform_adapter;
class row_store;

// The process of an agent that runs beside one engine: reports the engine's load to the entries and executes the orders
// of the group agent.
class direct_agent_process {
public:
    // Opens the datagram port. Throws http_error if it can't be opened.
    direct_agent_process(boost::asio::io_context& loop, const process_settings& settings, incarnation life, row_store& store,
        const platform_adapter& platform);
    ~direct_agent_process();
    direct_agent_process(const direct_agent_process&) = delete;
    direct_agent_process& operator=(const direct_agent_process&) = delete;

    void requestStop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
