#pragma once

#include "model/time.h"
#include "ports/row_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace appleramp {

// A row store that reports whether the store itself answers the calls that go through it, and when the next answer is due.
class watched_store : public row_store {
public:
    struct observers {
        std::function<instant()> now;
        // `lateness` is the time that the answer took beyond the wait of the call.
        std::function<void(duration lateness)> onAnswered;
        std::function<void(instant sentAt, store_failure failure)> onFailed;
    };

    watched_store(row_store& store, observers observers);

    void read(const std::string& table, const std::string& fromKey, store_handler done) override;
    void changes(const std::string& table, std::uint64_t afterVersion, duration wait, store_handler done) override;
    void write(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes, store_handler done) override;

    // Earliest time at which the answer to a call in progress is due; none without a call.
    std::optional<instant> answerDue() const;
    // Calls in progress that are overdue show nothing more of the store.
    void forgetOverdue();

    // A whole table, or the zone's reader that is asked first, takes some time beyond the wait.
    static constexpr duration readTime = std::chrono::milliseconds(250);

private:
    // `due` is the time by which the answer comes from a store that works.
    store_handler watch(duration wait, instant due, store_handler done);

    row_store& m_store;
    observers m_observers;
    std::map<std::uint64_t, instant> m_due;
    std::uint64_t m_lastCall = 0;
};

} // namespace appleramp
