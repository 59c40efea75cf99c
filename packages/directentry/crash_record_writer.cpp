#include "directentry/crash_record_writer.h"

#include "datagrams/crash_codec.h"
#include "ports/row_store.h"

#include <chrono>
#include <utility>
#include <vector>

namespace appleramp {

namespace {

// Rows of one write, below what a call may hold.
constexpr std::size_t maxRowsOfWrite = 50;
// Entries whose writes failed together do not retry together.
constexpr int minRetryDelayMs = 400;
constexpr int maxRetryDelayMs = 1200;

} // namespace

crash_record_writer::crash_record_writer(boost::asio::io_context& loop, row_store& store, std::minstd_rand::result_type seed, dropped_handler onDropped)
    : m_store(store)
    , m_timer(loop)
    , m_random(seed)
    , m_onDropped(std::move(onDropped))
{
}

void crash_record_writer::put(const crash_record& record) { enqueue(record.key, encodeCrashRow(record)); }

void crash_record_writer::remove(const suspect_key& key) { enqueue(key, {}); }

void crash_record_writer::enqueue(const suspect_key& key, std::string value)
{
    std::string rowKey = crashRowKey(key);
    if (m_pending.size() == maxPendingRows && !m_pending.contains(rowKey))
        return m_onDropped(rowKey);
    m_pending.insert_or_assign(std::move(rowKey), std::move(value));
    write();
}

void crash_record_writer::write()
{
    if (m_isBusy || m_pending.empty())
        return;
    m_isBusy = true;
    std::vector<row_write> rows;
    for (const auto& [key, value] : m_pending) {
        if (rows.size() < maxRowsOfWrite)
            rows.push_back({ std::string(crashTable), key, value, value.empty() });
    }
    m_store.write({}, rows, [this, rows](const store_result& result) {
        m_isBusy = false;
        if (!std::holds_alternative<store_rows>(result))
            return retryLater();
        for (const row_write& row : rows) {
            const auto pending = m_pending.find(row.key);
            if (pending != m_pending.end() && pending->second == row.value)
                m_pending.erase(pending);
        }
        write();
    });
}

void crash_record_writer::retryLater()
{
    m_timer.expires_after(std::chrono::milliseconds(std::uniform_int_distribution<int>(minRetryDelayMs, maxRetryDelayMs)(m_random)));
    m_timer.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            write();
    });
}

} // namespace appleramp
