#pragma once

#include "model/crash_news.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <random>
#include <string>

namespace appleramp {

class row_store;

// Writes the records of suspects that must be remembered to the store's table, and retries until the store confirms them.
class crash_record_writer {
public:
    // Called with the key of a row that is not written, as too many others wait.
    using dropped_handler = std::function<void(const std::string& rowKey)>;

    crash_record_writer(boost::asio::io_context& loop, row_store& store, std::minstd_rand::result_type seed, dropped_handler onDropped);

    void put(const crash_record& record);
    void remove(const suspect_key& key);

    // Rows that wait for the store; the ledger that they come from is bounded as well.
    static constexpr std::size_t maxPendingRows = 1024;

private:
    // An empty value deletes the row.
    void enqueue(const suspect_key& key, std::string value);
    void write();
    void retryLater();

    row_store& m_store;
    boost::asio::steady_timer m_timer;
    std::minstd_rand m_random;
    dropped_handler m_onDropped;
    // Values of the rows to be written, by key; empty ones are to be deleted.
    std::map<std::string, std::string> m_pending;
    bool m_isBusy = false;
};

} // namespace appleramp
