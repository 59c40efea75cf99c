#pragma once

#include "http/client_pool.h"
#include "ports/row_store.h"
#include "storefeed/change_codec.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace appleramp {

// A row store that takes the changes of tables from the process that reads the store for its zone, and asks the store itself
// when that process does not answer, knows nothing new, or has not heard from the store for a while.
class zone_store : public row_store {
public:
    // Address of the zone's reader; nothing if this process reads for its zone.
    using reader_address = std::function<std::optional<std::string>()>;

    zone_store(boost::asio::io_context& loop, row_store& store, reader_address readerAddress);
    ~zone_store() override;

    void read(const std::string& table, const std::string& fromKey, store_handler done) override;
    void changes(const std::string& table, std::uint64_t afterVersion, duration wait, store_handler done) override;
    void write(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes, store_handler done) override;

    // Calls to the store itself, and answers that the reader gave in its place.
    std::uint64_t storeCalls() const { return m_storeCalls; }
    std::uint64_t readerAnswers() const { return m_readerAnswers; }

    // The reader's knowledge must not be older than this: otherwise the store may hold changes that it cannot see.
    static constexpr duration maxReaderAge = std::chrono::milliseconds(1500);

private:
    class question;

    void askStore(const std::string& table, std::uint64_t afterVersion, duration wait, store_handler done);
    store_handler noteGeneration(std::string table, store_handler done);

    boost::asio::io_context& m_loop;
    row_store& m_store;
    reader_address m_readerAddress;
    client_pool m_pool;
    // Generation of the store of which each table was read.
    std::map<std::string, std::uint64_t> m_generations;
    std::uint64_t m_storeCalls = 0;
    std::uint64_t m_readerAnswers = 0;
};

} // namespace appleramp
