#pragma once

#include "model/time.h"

#include <optional>

namespace appleramp {

struct freshness_settings {
    // Longest time for which a revoked key may still be accepted, from the store's acknowledgement of the revocation.
    duration revocationBound = std::chrono::milliseconds(5000);
    // Allowance for a pause of the process between the check of the key and the send.
    duration sendMargin = std::chrono::milliseconds(300);
    // Definite refusals (unknown route, unknown key) require a configuration that was confirmed within this time.
    duration definiteRefusalMaxAge = std::chrono::milliseconds(3500);
};

// Limits how long a process may act on its configuration without confirming it by another read of the store.
//
// The age counts from when the confirming read was sent, since the read may miss a change that was acknowledged later.
class freshness_lease {
public:
    explicit freshness_lease(freshness_settings settings)
        : m_settings(settings)
    {
    }

    void confirm(instant readSentAt);
    // Age of the configuration; none before the first read.
    std::optional<duration> age(instant now) const;
    bool allowsKeyUse(instant now) const;
    bool allowsDefiniteRefusal(instant now) const;

private:
    freshness_settings m_settings;
    std::optional<instant> m_confirmedAt;
};

} // namespace appleramp
