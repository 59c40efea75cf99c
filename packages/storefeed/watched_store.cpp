#include "storefeed/watched_store.h"

#include <algorithm>
#include <utility>

namespace appleramp {

watched_store::watched_store(row_store& store, observers observers)
    : m_store(store)
    , m_observers(std::move(observers))
{
}

void watched_store::read(const std::string& table, const std::string& fromKey, store_handler done)
{
    m_store.read(table, fromKey, watch({}, m_observers.now() + readTime, std::move(done)));
}

void watched_store::changes(const std::string& table, std::uint64_t afterVersion, duration wait, store_handler done)
{
    // A read that does not wait may be as late as one of a whole table before it counts as overdue.
    m_store.changes(table, afterVersion, wait, watch(wait, m_observers.now() + std::max(wait, readTime), std::move(done)));
}

void watched_store::write(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes, store_handler done)
{
    m_store.write(conditions, writes, std::move(done));
}

store_handler watched_store::watch(duration wait, instant due, store_handler done)
{
    const std::uint64_t call = ++m_lastCall;
    m_due.emplace(call, due);
    return [this, call, wait, sentAt = m_observers.now(), done = std::move(done)](store_result result) {
        const bool isExpected = m_due.erase(call) > 0;
        const auto* const rows = std::get_if<store_rows>(&result);
        const auto* const failure = std::get_if<store_failure>(&result);
        const bool isAnswer = failure == nullptr || *failure == store_failure::HistoryTruncated;
        // What another entry passed on says nothing of the store.
        const bool isFromStore = rows == nullptr || !rows->age;
        if (isAnswer && isFromStore) {
            forgetOverdue();
            m_observers.onAnswered(std::max(m_observers.now() - sentAt - wait, duration::zero()));
        } else if (!isAnswer && isExpected)
            m_observers.onFailed(sentAt, *failure);
        done(std::move(result));
    };
}

std::optional<instant> watched_store::answerDue() const
{
    const auto earliest = std::min_element(m_due.begin(), m_due.end(), [](const auto& one, const auto& other) { return one.second < other.second; });
    return earliest == m_due.end() ? std::nullopt : std::optional(earliest->second);
}

void watched_store::forgetOverdue()
{
    std::erase_if(m_due, [now = m_observers.now()](const auto& call) { return call.second < now; });
}

} // namespace appleramp
