#pragma once

#include "decisions/maps/lease_record.h"
#include "decisions/maps/map_events.h"
#include "model/platform_call.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace appleramp {

struct lease_settings {
    appleramp::duration leaseDuration = std::chrono::seconds(3);
    appleramp::duration renewInterval = std::chrono::milliseconds(800);
    // Interval between reads of a lease that another candidate holds.
    appleramp::duration pollInterval = std::chrono::milliseconds(500);
};

// Acquires and renews the lease of one group in the table service, for map_coordinator.
//
// A candidate takes the lease over once it has seen the row unchanged for the lease's duration by its own clock. The
// holder counts the duration from before it sent its write. The lease alone does not guarantee a single holder, since
// clocks can stop or drift; orders are protected by the fencing number.
class lease_keeper {
public:
    lease_keeper(const group_id& group, std::string holder, lease_settings settings);

    // The fencing number of the held lease, or nothing if this candidate does not hold it.
    std::optional<fencing_number> heldFencing(instant now) const;
    // The fencing number last read from the table.
    fencing_number lastSeenFencing() const { return m_lastRecord.fencing; }

    void onTime(instant now, operation_number& nextOperation, maps_effects& effects);
    // Returns true if the reply belongs to a call of this keeper.
    bool onReply(instant now, const platform_replied& reply);

private:
    void read(instant now, operation_number& nextOperation, maps_effects& effects);
    void write(instant now, const lease_record& record, operation_number& nextOperation, maps_effects& effects);
    void adoptRecord(instant now, const lease_record& record, row_version version);
    void applyResult(instant now, const platform_result& result);

    std::string m_key;
    std::string m_holder;
    lease_settings m_settings;
    std::uint64_t m_renewals = 0;

    std::optional<operation_number> m_pendingCall;
    instant m_callStarted;
    std::optional<lease_record> m_unconfirmedWrite;
    instant m_writeStarted;
    instant m_nextCallAt;

    bool m_rowKnown = false;
    lease_record m_lastRecord;
    row_version m_lastVersion = 0;
    instant m_unchangedSince;
    std::optional<instant> m_heldUntil;
    fencing_number m_heldFencing = 0;
};

} // namespace appleramp
