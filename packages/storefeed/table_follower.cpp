#include "storefeed/table_follower.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

constexpr std::uint32_t maxDoublings = 6;

} // namespace

table_follower::table_follower(boost::asio::io_context& loop, row_store& store, std::string table, follower_settings settings,
    clock now, follower_handlers handlers, std::uint64_t seed)
    : m_timer(loop)
    , m_store(store)
    , m_table(std::move(table))
    , m_settings(settings)
    , m_now(std::move(now))
    , m_handlers(std::move(handlers))
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void table_follower::start()
{
    m_startedAt = m_now();
    readWhole();
}

void table_follower::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void table_follower::readWhole()
{
    m_rows.clear();
    m_sentAt = m_now();
    m_firstPageVersion = 0;
    m_store.read(m_table, {}, [self = shared_from_this()](store_result result) { self->onPage(std::move(result)); });
}

void table_follower::onPage(store_result result)
{
    if (m_stopped)
        return;
    if (const auto* const failure = std::get_if<store_failure>(&result))
        return onFailure(*failure);
    auto& page = std::get<store_rows>(result);
    // Changes made between two pages are read again as changes, so those are followed from the first page's version.
    if (m_firstPageVersion == 0)
        m_firstPageVersion = page.version;
    std::move(page.rows.begin(), page.rows.end(), std::back_inserter(m_rows));
    if (page.hasMore && !m_rows.empty()) {
        const std::string next = m_rows.back().key + '\0';
        m_store.read(m_table, next, [self = shared_from_this()](store_result more) { self->onPage(std::move(more)); });
        return;
    }
    m_version = m_firstPageVersion;
    noteReachable();
    // Later pages may be newer, but the contents as a whole are only as recent as the first page.
    composedAt(page.storeTime);
    m_digest.clear();
    m_digest.note(m_rows);
    m_heldAt = m_sentAt;
    m_handlers.whole(std::move(m_rows), m_sentAt);
    m_rows.clear();
    readChanges();
}

void table_follower::readChanges()
{
    if (m_handlers.isConfirmed && m_handlers.isConfirmed(m_digest.value())) {
        noteReachable();
        return after(m_settings.recheck, &table_follower::readChanges);
    }
    m_sentAt = m_now();
    m_store.changes(m_table, m_version, m_settings.wait,
        [self = shared_from_this()](store_result result) { self->onChanges(std::move(result)); });
}

void table_follower::onChanges(store_result result)
{
    if (m_stopped)
        return;
    if (const auto* const failure = std::get_if<store_failure>(&result)) {
        if (*failure == store_failure::HistoryGone)
            return readWhole();
        return onFailure(*failure);
    }
    auto& changed = std::get<store_rows>(result);
    m_version = std::max(m_version, changed.version);
    noteReachable();
    const bool isQuiet = changed.rows.empty();
    m_digest.note(changed.rows);
    m_heldAt = composedAt(changed.storeTime);
    m_handlers.changes(std::move(changed.rows), *m_heldAt);
    // An empty answer that came early must not cause a busy loop.
    const bool waited = m_now() - m_sentAt >= m_settings.gap;
    after(isQuiet && waited ? duration::zero() : gap(), &table_follower::readChanges);
}

duration table_follower::gap() const
{
    const bool isSettled = m_settings.settledGap > duration::zero() && m_now() - m_startedAt >= m_settings.settledAfter;
    return isSettled ? m_settings.settledGap : m_settings.gap;
}

// Returns the earliest time on this process's clock at which the store can have composed the answer. An answer was
// composed no earlier than its read was sent, so each answer gives a lower bound of the offset between the two clocks;
// the largest bound so far is applied to the store's time.
instant table_follower::composedAt(duration storeTime)
{
    if (storeTime == duration::zero())
        return m_sentAt;
    const duration offset = m_sentAt.time_since_epoch() - storeTime;
    m_clockOffset = std::max(m_clockOffset.value_or(offset), offset);
    const instant composed { storeTime + *m_clockOffset };
    if (composed <= m_now())
        return composed;
    // The store's clock jumped: another store answers, or the store restarted.
    m_clockOffset = offset;
    return m_sentAt;
}

void table_follower::onFailure(store_failure)
{
    if (std::exchange(m_reachable, false))
        m_handlers.access(false);
    const duration pause = std::min(m_settings.firstRetry * (1U << std::min(m_failures, maxDoublings)), m_settings.longestRetry);
    ++m_failures;
    const auto jitter = std::uniform_int_distribution<duration::rep>(0, pause.count())(m_random);
    after(pause / 2 + duration(jitter), m_version == 0 ? &table_follower::readWhole : &table_follower::readChanges);
}

void table_follower::noteReachable()
{
    m_failures = 0;
    if (!std::exchange(m_reachable, true))
        m_handlers.access(true);
}

void table_follower::after(duration pause, void (table_follower::*next)())
{
    m_timer.expires_after(pause);
    m_timer.async_wait([self = shared_from_this(), next](const boost::system::error_code& cancelled) {
        if (!cancelled && !self->m_stopped)
            (self.get()->*next)();
    });
}

} // namespace appleramp
