#pragma once

#include "decisions/entry/entry_context.h"

#include <span>
#include <vector>

namespace appleramp {

// The fleet's entries, as the instance list shows them. Assigns each team a stable set of entries (shuffle sharding),
// spread over at least two zones where possible, without entries that are leaving or out of service.
class address_directory {
public:
    void setInstances(std::span<const listed_instance> instances);

    // True if this entry is one of the few of its zone that poll the table for configuration changes, or if the instance
    // list does not contain it.
    bool isPoller(const instance_id& instance) const;

    // The entries that this team's callers should use, in order of preference.
    std::vector<listed_instance> shardOf(const team_id& team, const fleet_configuration& configuration) const;

private:
    std::vector<listed_instance> m_entries;
};

} // namespace appleramp
