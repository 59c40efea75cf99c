#pragma once

#include "decisions/entry/entry_context.h"

#include <span>
#include <vector>

namespace appleramp {

// Knows the fleet's entries by the instance list. Tells callers which entries to use: a stable shuffled shard per team, in two zones at least, without entries that
// are leaving or out of service.
class address_directory {
public:
    void listed(std::span<const listed_instance> instances);

    // True if this entry is one of the few of its zone that read configuration changes from the table often, or if the
    // list does not show it.
    bool isPoller(const instance_id& instance) const;

    // Entries in order of preference for this team.
    std::vector<listed_instance> shardOf(const team_id& team, const fleet_configuration& configuration) const;

private:
    std::vector<listed_instance> m_entries;
};

} // namespace appleramp
