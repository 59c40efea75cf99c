#pragma once

#include "membership/member_row.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace appleramp {

class row_store;

// Maintains a process's row in the members table: retries the write until the store confirms it, and deletes the row at
// a planned stop.
class member_registration {
public:
    member_registration(boost::asio::io_context& loop, row_store& store, std::string instance, member_row row);

    void start();
    // The store has that generation now. Writes the row again after the delay if it was written in an older one, as the
    // store may have lost it.
    void onStoreGeneration(std::uint64_t generation, std::chrono::milliseconds delay);
    void unregister();

private:
    void startAfter(std::chrono::milliseconds delay);

    row_store& m_store;
    boost::asio::steady_timer m_retryTimer;
    std::string m_instance;
    member_row m_row;
    // Generation of the store in which the row was written; none before the store confirmed it.
    std::optional<std::uint64_t> m_writtenGeneration;
    bool m_unregistered = false;
};

} // namespace appleramp
