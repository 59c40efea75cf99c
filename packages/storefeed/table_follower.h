#pragma once

#include "model/time.h"
#include "ports/row_store.h"
#include "storefeed/change_log.h"
#include "storefeed/delayed_call.h"
#include "storefeed/table_digest.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace appleramp {

// Callbacks of a follower. `currentAsOf` is a time at which the rows were certainly current: when the read was sent, or later
// if the store's clock shows that it composed its answer later.
struct follower_handlers {
    // The whole table was read.
    std::function<void(std::vector<store_row> rows, instant currentAsOf)> onSnapshot;
    // Rows changed; without rows, the known contents were confirmed as current.
    std::function<void(std::vector<store_row> rows, instant currentAsOf)> onChanges;
    // The store stopped answering or answers again.
    std::function<void(bool reachable)> onReachability;
    // Optional: the store came back from an older copy. Called before onSnapshot delivers what that copy holds.
    std::function<void()> onRestored;
    // Optional: whether another reader of the store confirms the contents with this digest, which makes a read unnecessary.
    std::function<bool(std::uint64_t digest)> isDigestConfirmed;
    // Optional: whether the follower may read now, and how long a read for changes may wait; nothing if it may not. Without it the
    // follower backs off by itself.
    std::function<std::optional<duration>()> nextReadWait;
};

struct follower_settings {
    // Long-poll timeout of a read for changes.
    duration longPollTimeout = std::chrono::milliseconds(1500);
    // Time between two reads that returned changes, so that a burst of changes is read in few calls.
    duration readInterval = std::chrono::milliseconds(150);
    // Replaces `readInterval` once the follower has run for `settledAfter`; zero keeps `readInterval`.
    duration settledReadInterval {};
    duration settledAfter = std::chrono::seconds(10);
    // Backoff after a failed read; doubles up to `maxBackoff`.
    duration initialBackoff = std::chrono::milliseconds(150);
    duration maxBackoff = std::chrono::milliseconds(800);
    // Interval at which `isDigestConfirmed` is asked while another reader confirms the contents.
    duration confirmationCheckInterval = std::chrono::milliseconds(100);
    // Time after a read of the whole table in which another reader is given the chance to confirm it before the follower reads
    // changes itself.
    duration confirmationWait {};
    // Followers read the whole table at a random time within this one after the store came back from an older copy.
    duration restoreSpread = std::chrono::milliseconds(300);
};

// Follows one table of the store: reads the whole table, then its changes, and the whole table again when the store no
// longer keeps the changes since the last read.
class table_follower : public std::enable_shared_from_this<table_follower> {
public:
    using clock = std::function<instant()>;

    table_follower(boost::asio::io_context& loop, row_store& store, std::string table, follower_settings settings, clock now,
        follower_handlers handlers, std::uint64_t seed);
    table_follower(std::unique_ptr<delayed_call> timer, row_store& store, std::string table, follower_settings settings, clock now,
        follower_handlers handlers, std::uint64_t seed);

    void start();
    void stop();

    // Reads the changes at once, also while another read is in progress, and applies them if none were applied meanwhile. The handler
    // is called first and gets the time at which the call was sent.
    using probe_handler = std::function<void(instant sentAt, const store_result& result)>;
    void probe(probe_handler done);
    // Gives up a read that is overdue, for example since its connection broke without a sign.
    void giveUpOverdue();
    // Reads at once unless a read is in progress that is not overdue.
    void readNow();
    // By then the read in progress is answered, unless the answer is late; none without one.
    std::optional<instant> answerDue() const { return m_answerDue; }

    const std::string& table() const { return m_table; }
    // Digest of the known rows.
    std::uint64_t digest() const { return m_digest.value(); }
    // Generation of the store that answered last; zero before the first answer.
    std::uint64_t generation() const { return m_generation; }
    // Generation of the store in which the known rows were read; zero before the first whole read.
    std::uint64_t rowsGeneration() const { return m_log.generation(); }
    // The latest changes, for processes that take them from this one.
    const change_log& latestChanges() const { return m_log; }
    // A time at which the known rows were certainly current by this follower's own reads; none before the first.
    std::optional<instant> currentAsOf() const { return m_currentAsOf; }

private:
    void readSnapshot();
    void readPage(const std::string& fromKey);
    void onSnapshotPage(store_result result);
    void onProbed(store_rows changed, std::uint64_t afterVersion, instant sentAt);
    // Whether the call with this number was given up.
    bool isGivenUp(std::uint64_t call) const { return m_stopped || call != m_call; }
    void readChanges();
    void onChanges(store_result result, std::uint64_t afterVersion);
    void onFailure(store_failure failure);
    void markReachable();
    // Notes the generation of an answer. Returns true if it is not the one of the known rows.
    bool isOtherGeneration(const store_rows& rows);
    instant estimateComposedAt(duration storeTime);
    duration currentReadInterval() const;
    duration randomDuration(duration longest);
    // The known rows are none of a table of the store's present generation: changes must not be applied to them.
    bool needsWholeRead() const { return m_version == 0 || m_log.generation() != m_generation; }
    void scheduleRead(duration pause);
    void scheduleNext(duration pause, void (table_follower::*next)());

    std::unique_ptr<delayed_call> m_timer;
    row_store& m_store;
    std::string m_table;
    follower_settings m_settings;
    clock m_now;
    follower_handlers m_handlers;
    std::minstd_rand m_random;

    std::vector<store_row> m_snapshotRows;
    table_digest m_digest;
    change_log m_log;
    std::optional<instant> m_currentAsOf;
    std::uint64_t m_version = 0;
    std::uint64_t m_firstPageVersion = 0;
    // Generation of the store to which the known version belongs; zero before the first answer.
    std::uint64_t m_generation = 0;
    instant m_readSentAt;
    std::optional<instant> m_answerDue;
    // Number of the read in progress; answers to those before it are dropped.
    std::uint64_t m_call = 0;
    // Lower bound of this process's clock minus the store's clock.
    std::optional<duration> m_minClockOffset;
    instant m_startedAt;
    instant m_confirmationAwaitedUntil;
    bool m_reachable = true;
    bool m_stopped = false;
    std::uint32_t m_consecutiveFailures = 0;
};

} // namespace appleramp
