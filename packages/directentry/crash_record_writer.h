#pragma once

#include "model/crash_news.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <random>
#include <string>

namespace appleramp {

class row_store;

// Writes the records of suspects that must be remembered to the store's table, and retries until the store confirms them.
class crash_record_writer {
public:
    crash_record_writer(boost::asio::io_context& loop, row_store& store, std::minstd_rand::result_type seed);

    void put(const crash_record& record);
    void remove(const suspect_key& key);

private:
    // An empty value deletes the row.
    void enqueue(const suspect_key& key, std::string value);
    void write();
    void retryLater();

    row_store& m_store;
    boost::asio::steady_timer m_timer;
    std::minstd_rand m_random;
    // Values of the rows to be written, by key; empty ones are to be deleted.
    std::map<std::string, std::string> m_pending;
    bool m_isBusy = false;
};

} // namespace appleramp
