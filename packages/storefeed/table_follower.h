#pragma once

#include "model/time.h"
#include "ports/row_store.h"
#include "storefeed/table_digest.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace appleramp {

// What a follower reports. The moment is one at which the news held for certain: that of the sending of the read, or a
// later one if the store's clock shows that it composed its answer later.
struct follower_handlers {
    // The table was read whole.
    std::function<void(std::vector<store_row> rows, instant heldAt)> whole;
    // Changes, or none: then what is known was confirmed.
    std::function<void(std::vector<store_row> rows, instant heldAt)> changes;
    // The store stopped or began to answer.
    std::function<void(bool reachable)> access;
    // Optional: another reader of the store confirms contents with that digest, so that no read is needed now.
    std::function<bool(std::uint64_t digest)> isConfirmed;
};

struct follower_settings {
    // Longest wait of one read for changes.
    duration wait = std::chrono::milliseconds(1500);
    // Between two reads that brought changes, so that a storm of changes is read in few calls.
    duration gap = std::chrono::milliseconds(150);
    // The same once the follower has run for some time; zero if it stays as it is.
    duration settledGap {};
    duration settledAfter = std::chrono::seconds(10);
    // After a failed read; doubles up to the longest.
    duration firstRetry = std::chrono::milliseconds(150);
    duration longestRetry = std::chrono::milliseconds(800);
    // While another reader confirms what is known, this is asked so often.
    duration recheck = std::chrono::milliseconds(100);
};

// Keeps up with one table of the store: reads it whole, then its changes, and whole again where history is lost.
class table_follower : public std::enable_shared_from_this<table_follower> {
public:
    using clock = std::function<instant()>;

    table_follower(boost::asio::io_context& loop, row_store& store, std::string table, follower_settings settings, clock now,
        follower_handlers handlers, std::uint64_t seed);

    void start();
    void stop();

    // Of the rows that are known.
    std::uint64_t digest() const { return m_digest.value(); }
    // When they held for certain, by reads of this follower; none before the first.
    std::optional<instant> heldAt() const { return m_heldAt; }

private:
    void readWhole();
    void onPage(store_result result);
    void readChanges();
    void onChanges(store_result result);
    void onFailure(store_failure failure);
    void noteReachable();
    instant composedAt(duration storeTime);
    duration gap() const;
    void after(duration pause, void (table_follower::*next)());

    boost::asio::steady_timer m_timer;
    row_store& m_store;
    std::string m_table;
    follower_settings m_settings;
    clock m_now;
    follower_handlers m_handlers;
    std::minstd_rand m_random;

    std::vector<store_row> m_rows;
    table_digest m_digest;
    std::optional<instant> m_heldAt;
    std::uint64_t m_version = 0;
    std::uint64_t m_firstPageVersion = 0;
    instant m_sentAt;
    // A lower bound of the difference between our clock and the store's.
    std::optional<duration> m_clockOffset;
    instant m_startedAt;
    bool m_reachable = true;
    bool m_stopped = false;
    std::uint32_t m_failures = 0;
};

} // namespace appleramp
