#pragma once

#include "decisions/groups/switch_coordinator.h"
#include "directagent/engine_link.h"
#include "ports/platform_adapter.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace appleramp {

class line_log;

// The engines of other ranks, which an agent reads and orders over the network: one exchange at a time with each.
class foreign_engines {
public:
    using reading_handler = std::function<void(const engine_report&)>;

    foreign_engines(boost::asio::io_context& loop, const platform_adapter& platform, line_log& log, reading_handler onReading);

    // The address is that of the rank's engine; empty if it is not known.
    void read(std::uint32_t rank, const std::string& address);
    void order(const send_silent_rank_order& order, const std::string& address);

private:
    // The link to that engine; null if the address is empty or an exchange with the engine is under way.
    engine_link* idleLink(std::uint32_t rank, const std::string& address);

    boost::asio::io_context& m_loop;
    const platform_adapter& m_platform;
    line_log& m_log;
    reading_handler m_onReading;
    std::map<std::uint32_t, std::unique_ptr<engine_link>> m_links;
};

} // namespace appleramp
