#pragma once

#include "model/identifiers.h"

#include <algorithm>
#include <optional>

namespace appleramp {

// Whether the newest configuration in the store is one that this entry can read.
//
// A version that can't be read may have revoked an API key. Reads confirm the configuration in force only after a version that is
// as new was read, so that the keys of the older one expire.
class configuration_readability {
public:
    void onReadable(configuration_version version)
    {
        if (m_unreadable && version >= *m_unreadable)
            m_unreadable.reset();
    }
    // Zero for a version that is not known.
    void onUnreadable(configuration_version version) { m_unreadable = std::max(m_unreadable.value_or(0), version); }
    bool isReadable() const { return !m_unreadable; }

private:
    std::optional<configuration_version> m_unreadable;
};

} // namespace appleramp
