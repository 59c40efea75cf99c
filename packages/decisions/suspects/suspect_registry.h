#pragma once

#include "model/messages.h"
#include "model/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace appleramp {

// Records which request contents were running when an endpoint crashed, and how certain it is that they caused it. A
// record is only replaced by one of a higher round, or of the same round and a higher level. Updates from peers may
// therefore arrive late, more than once and by any path. Updated records are sent to linked peers.
class suspect_registry {
public:
    // Current level of this content, or nothing if no record of it exists.
    std::optional<suspicion> levelOf(std::uint64_t contentHash) const;

    // An endpoint crashed while it ran this content; alone if it ran no other request at that time.
    void recordCrash(std::uint64_t contentHash, bool alone, instant now);
    // The content completed while its endpoint ran no other request. Clears it if it was suspected.
    void recordSoloCompletion(std::uint64_t contentHash, instant now);
    // Merges a record from a peer; ignored unless it is newer than the stored one.
    void merge(const suspect_record& record, instant now);

    // Removes and returns the updates since the last call, oldest first.
    std::vector<suspect_record> takeUpdates();
    // Returns all records, to initialize a newly connected peer.
    std::vector<suspect_record> allRecords() const;
    // Removes records whose last update is older than the retention of their level.
    void removeExpired(instant now);
    std::size_t size() const { return m_records.size(); }

private:
    struct stored_record {
        suspect_record record;
        instant updatedAt;
    };

    std::map<std::uint64_t, stored_record> m_records;
    std::vector<suspect_record> m_updates;
};

} // namespace appleramp
