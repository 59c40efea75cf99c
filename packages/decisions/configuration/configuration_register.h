#pragma once

#include "model/configuration.h"

#include <deque>
#include <optional>
#include <span>
#include <string_view>

namespace appleramp {

// Holds the newest configuration that this process knows and moves only upwards. Works with the links, which carry
// news in both directions, and with configuration_writer, which commits changes of operators.
class configuration_register {
public:
    const fleet_configuration& current() const { return m_current; }
    configuration_version version() const { return m_current.version; }

    // Applies every change that follows the current version without a gap. Returns true if the version rose.
    bool adopt(std::span<const accepted_change> changes);
    // Takes the document if it is newer. Returns true if the version rose.
    bool adopt(const fleet_configuration& document);

    // The changes after `version`, or an empty list if they are no longer kept and the document must be sent.
    std::vector<accepted_change> changesSince(configuration_version version) const;

    // The version of the change with this id, if it is among the latest changes.
    std::optional<configuration_version> findChange(std::string_view changeId) const;

private:
    void applyNext(const accepted_change& change);

    fleet_configuration m_current;
    // The latest changes in ascending order without a gap, ending at the current version.
    std::deque<accepted_change> m_recent;
};

// The configuration with the change applied to it; the version is the change's.
void applyChange(fleet_configuration& configuration, const accepted_change& change);

} // namespace appleramp
