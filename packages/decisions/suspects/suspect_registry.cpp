#include "decisions/suspects/suspect_registry.h"

#include <utility>

namespace appleramp {

namespace {

constexpr duration suspectRetention = std::chrono::minutes(10);
constexpr duration convictRetention = std::chrono::hours(24);

} // namespace

std::optional<suspicion> suspect_registry::levelOf(std::uint64_t contentHash) const
{
    const auto found = m_records.find(contentHash);
    return found == m_records.end() ? std::nullopt : std::optional(found->second.record.level);
}

void suspect_registry::recordCrash(std::uint64_t contentHash, bool alone, instant now)
{
    suspect_record update { contentHash, 1, alone ? suspicion::Convicted : suspicion::Suspected };
    const auto found = m_records.find(contentHash);
    if (found != m_records.end()) {
        const auto& current = found->second.record;
        // A crash beside other requests makes a cleared content suspected again. That takes a new round, because within a
        // round Cleared replaces Suspected.
        const bool isNewRound = current.level == suspicion::Cleared && !alone;
        update.round = current.round + (isNewRound ? 1 : 0);
    }
    merge(update, now);
}

void suspect_registry::recordSoloCompletion(std::uint64_t contentHash, instant now)
{
    const auto found = m_records.find(contentHash);
    if (found != m_records.end())
        merge({ contentHash, found->second.record.round, suspicion::Cleared }, now);
}

void suspect_registry::merge(const suspect_record& record, instant now)
{
    const auto found = m_records.find(record.contentHash);
    if (found != m_records.end()) {
        const auto& current = found->second.record;
        if (std::pair(record.round, record.level) <= std::pair(current.round, current.level))
            return;
    }
    m_records[record.contentHash] = { record, now };
    m_updates.push_back(record);
}

std::vector<suspect_record> suspect_registry::takeUpdates() { return std::exchange(m_updates, {}); }

std::vector<suspect_record> suspect_registry::allRecords() const
{
    std::vector<suspect_record> records;
    records.reserve(m_records.size());
    for (const auto& [hash, stored] : m_records)
        records.push_back(stored.record);
    return records;
}

void suspect_registry::removeExpired(instant now)
{
    std::erase_if(m_records, [now](const auto& item) {
        const bool convicted = item.second.record.level == suspicion::Convicted;
        return item.second.updatedAt + (convicted ? convictRetention : suspectRetention) < now;
    });
}

} // namespace appleramp
