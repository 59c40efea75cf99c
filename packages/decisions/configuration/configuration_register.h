#pragma once

#include "model/configuration.h"

#include <deque>
#include <optional>
#include <span>
#include <string_view>

namespace appleramp {

// Holds the newest configuration that this process knows; its version never decreases. Links exchange changes in both
// directions, and configuration_writer commits the changes of operators.
class configuration_register {
public:
    const fleet_configuration& current() const { return m_current; }
    configuration_version version() const { return m_current.version; }

    // Applies the changes that follow the current version without a gap. Returns true if the version increased.
    bool adopt(std::span<const accepted_change> changes);
    // Replaces the configuration if the document is newer. Returns true if the version increased.
    bool adopt(const fleet_configuration& document);

    // The changes after `version`. Empty if they are no longer kept; the whole document must then be sent.
    std::vector<accepted_change> changesSince(configuration_version version) const;

    // The version of the change with this id, if it is among the changes that are kept.
    std::optional<configuration_version> findChange(std::string_view changeId) const;

private:
    void applyNext(const accepted_change& change);

    fleet_configuration m_current;
    // The most recent changes in ascending order without a gap, up to the current version.
    std::deque<accepted_change> m_recentChanges;
};

// Applies the next change to the configuration and sets the configuration's version to that of the change.
void applyChange(fleet_configuration& configuration, const accepted_change& change);

} // namespace appleramp
