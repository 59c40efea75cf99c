#include "storefeed/table_follower.h"

#include "storefeed/asio_delayed_call.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

constexpr std::uint32_t maxBackoffDoublings = 6;

} // namespace

table_follower::table_follower(boost::asio::io_context& loop, row_store& store, std::string table, follower_settings settings,
    clock now, follower_handlers handlers, std::uint64_t seed)
    : table_follower(std::make_unique<asio_delayed_call>(loop), store, std::move(table), settings, std::move(now), std::move(handlers), seed)
{
}

table_follower::table_follower(std::unique_ptr<delayed_call> timer, row_store& store, std::string table, follower_settings settings,
    clock now, follower_handlers handlers, std::uint64_t seed)
    : m_timer(std::move(timer))
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
    readSnapshot();
}

void table_follower::stop()
{
    m_stopped = true;
    m_timer->cancel();
}

void table_follower::readSnapshot()
{
    if (m_handlers.nextReadWait && !m_handlers.nextReadWait())
        return scheduleNext(m_settings.confirmationCheckInterval, &table_follower::readSnapshot);
    m_snapshotRows.clear();
    m_readSentAt = m_now();
    m_answerDue = m_readSentAt;
    m_firstPageVersion = 0;
    readPage({});
}

void table_follower::readPage(const std::string& fromKey)
{
    m_store.read(m_table, fromKey, [self = shared_from_this(), call = ++m_call](store_result result) {
        if (!self->isGivenUp(call))
            self->onSnapshotPage(std::move(result));
    });
}

void table_follower::onSnapshotPage(store_result result)
{
    if (const auto* const failure = std::get_if<store_failure>(&result))
        return onFailure(*failure);
    auto& page = std::get<store_rows>(result);
    // Pages of different generations do not make a table.
    if (isOtherGeneration(page) && m_firstPageVersion != 0)
        return readSnapshot();
    // Changes made between two pages are read again as changes, so those are followed from the first page's version.
    if (m_firstPageVersion == 0)
        m_firstPageVersion = page.version;
    std::move(page.rows.begin(), page.rows.end(), std::back_inserter(m_snapshotRows));
    if (page.hasMore && !m_snapshotRows.empty()) {
        readPage(m_snapshotRows.back().key + '\0');
        return;
    }
    m_answerDue.reset();
    m_version = m_firstPageVersion;
    markReachable();
    // Later pages may be newer, but the contents as a whole are only as recent as the first page.
    estimateComposedAt(page.storeTime);
    m_digest.clear();
    m_digest.apply(m_snapshotRows);
    m_log.reset(m_generation, m_version);
    m_currentAsOf = m_readSentAt;
    m_confirmationAwaitedUntil = m_now() + m_settings.confirmationWait;
    m_handlers.onSnapshot(std::move(m_snapshotRows), m_readSentAt);
    m_snapshotRows.clear();
    readChanges();
}

void table_follower::readChanges()
{
    if (m_handlers.isDigestConfirmed && m_handlers.isDigestConfirmed(m_digest.value())) {
        markReachable();
        return scheduleNext(m_settings.confirmationCheckInterval, &table_follower::readChanges);
    }
    if (m_now() < m_confirmationAwaitedUntil)
        return scheduleNext(m_settings.confirmationCheckInterval, &table_follower::readChanges);
    const auto wait = m_handlers.nextReadWait ? m_handlers.nextReadWait() : std::optional(m_settings.longPollTimeout);
    if (!wait)
        return scheduleNext(m_settings.confirmationCheckInterval, &table_follower::readChanges);
    m_readSentAt = m_now();
    m_answerDue = m_readSentAt + *wait;
    m_store.changes(m_table, m_version, *wait, [self = shared_from_this(), call = ++m_call, after = m_version](store_result result) {
        if (!self->isGivenUp(call))
            self->onChanges(std::move(result), after);
    });
}

void table_follower::probe(probe_handler done)
{
    m_store.changes(m_table, m_version, {}, [self = shared_from_this(), after = m_version, sentAt = m_now(), done = std::move(done)](store_result result) {
        if (self->m_stopped)
            return;
        done(sentAt, result);
        if (auto* const changed = std::get_if<store_rows>(&result))
            self->onProbed(std::move(*changed), after, sentAt);
    });
}

void table_follower::onProbed(store_rows changed, std::uint64_t afterVersion, instant sentAt)
{
    // Without a whole read the changes are no table; after another answer they may be older than what is known.
    if (m_version == 0 || afterVersion != m_version)
        return;
    if (isOtherGeneration(changed)) {
        ++m_call;
        m_answerDue.reset();
        return scheduleRead(randomDuration(m_settings.restoreSpread));
    }
    // A whole read of this generation is due.
    if (needsWholeRead())
        return;
    m_version = std::max(m_version, changed.version);
    m_digest.apply(changed.rows);
    m_log.append(changed.rows, m_version);
    m_currentAsOf = std::max(m_currentAsOf.value_or(sentAt), sentAt);
    m_handlers.onChanges(std::move(changed.rows), sentAt);
}

void table_follower::giveUpOverdue()
{
    if (!m_answerDue || m_now() <= *m_answerDue)
        return;
    ++m_call;
    m_answerDue.reset();
    scheduleRead(m_settings.confirmationCheckInterval);
}

void table_follower::readNow()
{
    giveUpOverdue();
    if (!m_answerDue)
        scheduleRead(duration::zero());
}

void table_follower::scheduleRead(duration pause)
{
    scheduleNext(pause, needsWholeRead() ? &table_follower::readSnapshot : &table_follower::readChanges);
}

void table_follower::onChanges(store_result result, std::uint64_t afterVersion)
{
    m_answerDue.reset();
    if (const auto* const failure = std::get_if<store_failure>(&result)) {
        if (*failure == store_failure::HistoryTruncated)
            return readSnapshot();
        return onFailure(*failure);
    }
    auto& changed = std::get<store_rows>(result);
    // A probe was answered meanwhile: these rows may be older than the known ones.
    if (afterVersion != m_version)
        return scheduleNext(duration::zero(), &table_follower::readChanges);
    if (isOtherGeneration(changed)) {
        markReachable();
        return scheduleNext(randomDuration(m_settings.restoreSpread), &table_follower::readSnapshot);
    }
    m_version = std::max(m_version, changed.version);
    markReachable();
    const bool isQuiet = changed.rows.empty();
    m_digest.apply(changed.rows);
    m_log.append(changed.rows, m_version);
    const instant currentAsOf = changed.age ? m_readSentAt - *changed.age : estimateComposedAt(changed.storeTime);
    m_currentAsOf = currentAsOf;
    m_handlers.onChanges(std::move(changed.rows), currentAsOf);
    // An empty answer that came early must not cause a busy loop.
    const bool waited = m_now() - m_readSentAt >= m_settings.readInterval;
    scheduleNext(isQuiet && waited ? duration::zero() : currentReadInterval(), &table_follower::readChanges);
}

duration table_follower::currentReadInterval() const
{
    const bool isSettled = m_settings.settledReadInterval > duration::zero() && m_now() - m_startedAt >= m_settings.settledAfter;
    return isSettled ? m_settings.settledReadInterval : m_settings.readInterval;
}

// Returns the earliest time on this process's clock at which the store can have composed the answer. An answer was
// composed no earlier than its read was sent, so each answer gives a lower bound of the offset between the two clocks;
// the largest bound so far is applied to the store's time.
instant table_follower::estimateComposedAt(duration storeTime)
{
    if (storeTime == duration::zero())
        return m_readSentAt;
    const duration offset = m_readSentAt.time_since_epoch() - storeTime;
    m_minClockOffset = std::max(m_minClockOffset.value_or(offset), offset);
    const instant composed { storeTime + *m_minClockOffset };
    if (composed <= m_now())
        return composed;
    // The store's clock jumped: another store answers, or the store restarted.
    m_minClockOffset = offset;
    return m_readSentAt;
}

void table_follower::onFailure(store_failure)
{
    if (std::exchange(m_reachable, false))
        m_handlers.onReachability(false);
    m_answerDue.reset();
    if (m_handlers.nextReadWait) {
        // The store may be another one when it answers again, with another clock.
        m_minClockOffset.reset();
        return scheduleRead(m_settings.initialBackoff);
    }
    const duration pause = std::min(m_settings.initialBackoff * (1U << std::min(m_consecutiveFailures, maxBackoffDoublings)), m_settings.maxBackoff);
    ++m_consecutiveFailures;
    scheduleRead(pause / 2 + randomDuration(pause));
}

duration table_follower::randomDuration(duration longest)
{
    return duration(std::uniform_int_distribution<duration::rep>(0, longest.count())(m_random));
}

bool table_follower::isOtherGeneration(const store_rows& rows)
{
    const bool isOther = m_generation != 0 && rows.generation != m_generation;
    m_generation = rows.generation;
    if (isOther && m_handlers.onRestored)
        m_handlers.onRestored();
    return isOther;
}

void table_follower::markReachable()
{
    m_consecutiveFailures = 0;
    if (!std::exchange(m_reachable, true))
        m_handlers.onReachability(true);
}

void table_follower::scheduleNext(duration pause, void (table_follower::*next)())
{
    m_timer->callAfter(pause, [self = shared_from_this(), next] {
        if (!self->m_stopped)
            (self.get()->*next)();
    });
}

} // namespace appleramp
