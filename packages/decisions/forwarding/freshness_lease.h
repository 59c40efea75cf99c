#pragma once

#include "model/time.h"

#include <optional>

namespace appleramp {

struct freshness_settings {
    // A key that operators revoked may be honoured no longer than this after the store's acknowledgement.
    duration revocationBound = std::chrono::milliseconds(5000);
    // Room for a pause between the check and the send.
    duration margin = std::chrono::milliseconds(300);
    // Definite refusals (unknown route, unknown key) need a configuration confirmed within this time.
    duration definiteWithin = std::chrono::milliseconds(3500);
};

// How long the configuration that a process holds may still be acted on.
//
// The age counts from the sending of the read that confirmed it: a change acknowledged later may be missing.
class freshness_lease {
public:
    explicit freshness_lease(freshness_settings settings)
        : m_settings(settings)
    {
    }

    void confirm(instant readSentAt);
    // The age of what is known; none before the first read.
    std::optional<duration> age(instant now) const;
    bool allowsKeys(instant now) const;
    bool allowsDefiniteRefusal(instant now) const;

private:
    freshness_settings m_settings;
    std::optional<instant> m_confirmedAt;
};

} // namespace appleramp
