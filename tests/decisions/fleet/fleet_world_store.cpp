#include "decisions/fleet/fleet_world_state.h"

#include "datagrams/crash_codec.h"

#include <algorithm>
#include <utility>

// The store of the world: rows of suspects, and the feeds of the registry and of the operator.

namespace appleramp::tests {

using namespace std::chrono_literals;

namespace {

constexpr duration callTime = 5ms;
// Processes come back to the store at different times.
constexpr duration returnSpread = 800ms;

} // namespace

void fleet_world::callStore(std::size_t entry, std::function<void()> action)
{
    const duration wait = now() < m_storeBackAt ? m_storeBackAt - now() + randomUpTo(returnSpread) : callTime;
    scheduleAt(entry, wait, [this, entry, action = std::move(action)] {
        if (now() < m_storeBackAt)
            return callStore(entry, action);
        action();
    });
}

void fleet_world::followStore(const std::function<forwarding_event()>& make)
{
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        const duration wait = now() < m_storeBackAt ? m_storeBackAt - now() + randomUpTo(returnSpread) : feedDelay;
        scheduleAt(entry, wait, [this, entry, make] { post(entry, make()); });
    }
}

void fleet_world::writeSuspect(std::size_t entry, const crash_record& record)
{
    callStore(entry, [this, record] {
        const std::string& row = m_rows[crashRowKey(record.key)] = encodeCrashRow(record);
        followStore([this, row] { return crash_table_read { now(), false, { decodeCrashRow(row).value() }, {} }; });
    });
}

void fleet_world::removeSuspect(std::size_t entry, const suspect_key& key)
{
    callStore(entry, [this, key] {
        m_rows.erase(crashRowKey(key));
        followStore([this, key] { return crash_table_read { now(), false, {}, { key } }; });
    });
}

void fleet_world::readSuspects(std::size_t entry)
{
    callStore(entry, [this, entry] {
        crash_table_read read { now(), true, {}, {} };
        for (const auto& [key, row] : m_rows)
            read.records.push_back(decodeCrashRow(row).value());
        post(entry, read);
    });
}

} // namespace appleramp::tests
