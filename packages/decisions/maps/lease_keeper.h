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
    appleramp::duration duration = std::chrono::seconds(3);
    appleramp::duration renewInterval = std::chrono::milliseconds(800);
    // Between two looks at a lease that another holds.
    appleramp::duration watchInterval = std::chrono::milliseconds(500);
};

// Takes and renews one group's lease in the table service, on behalf of map_coordinator.
//
// A candidate takes the lease when it has seen the row unchanged for the lease's duration by its own clock. The holder
// counts the duration from before it sent its write. The lease keeps candidates apart but proves nothing: that is what
// the fencing number is for.
class lease_keeper {
public:
    lease_keeper(const group_id& group, std::string holder, lease_settings settings);

    // The number under which the lease is held, or nothing.
    std::optional<fencing_number> held(instant now) const;
    // The highest number seen in the table.
    fencing_number highest() const { return m_seen.fencing; }

    void onTime(instant now, operation_number& nextOperation, maps_effects& effects);
    // True if the reply was to a call of this keeper.
    bool onReply(instant now, const platform_replied& reply);

private:
    void read(instant now, operation_number& nextOperation, maps_effects& effects);
    void write(instant now, const lease_record& record, operation_number& nextOperation, maps_effects& effects);
    void see(instant now, const lease_record& record, row_version version);
    void learn(instant now, const platform_result& result);

    std::string m_key;
    std::string m_holder;
    lease_settings m_settings;
    std::uint64_t m_renewals = 0;

    std::optional<operation_number> m_call;
    instant m_callStarted;
    std::optional<lease_record> m_written;
    instant m_writeStarted;
    instant m_nextCall;

    bool m_known = false;
    lease_record m_seen;
    row_version m_seenVersion = 0;
    instant m_seenSince;
    std::optional<instant> m_heldUntil;
    fencing_number m_heldFencing = 0;
};

} // namespace appleramp
