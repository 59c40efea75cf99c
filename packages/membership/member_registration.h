#pragma once

#include "membership/member_row.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>

namespace appleramp {

class row_store;

// Maintains a process's row in the members table: retries the write until the store confirms it, and deletes the row at
// a planned stop.
class member_registration {
public:
    member_registration(boost::asio::io_context& loop, row_store& store, std::string instance, member_row row);

    void start();
    void unregister();

private:
    row_store& m_store;
    boost::asio::steady_timer m_retryTimer;
    std::string m_instance;
    member_row m_row;
    bool m_unregistered = false;
};

} // namespace appleramp
