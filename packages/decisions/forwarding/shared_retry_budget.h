#pragma once

#include "decisions/forwarding/sliding_window_counter.h"
#include "model/identifiers.h"
#include "model/time.h"

#include <cstddef>
#include <map>

namespace appleramp {

struct shared_retry_budget_settings {
    // Retries that all entries together may send to a service in a window: a fraction of its requests, plus a fixed number.
    double requestFraction = 0.2;
    double baseRetries = 90;
    duration window = std::chrono::seconds(10);
    // Fraction of the budget that is used, since the windows of the entries are not aligned.
    double usableFraction = 0.8;
};

// A service's retries in the current window, and how many the entry may send.
struct retry_usage {
    std::size_t used = 0;
    double allowed = 0;
};

// Since the start of the process, over all services.
struct retry_totals {
    std::size_t granted = 0;
    std::size_t denied = 0;
};

// This entry's share of the retry budget of each service.
//
// Each entry may use requestFraction of its own requests and an equal part of baseRetries, so that all entries together
// keep the budget even while they cannot reach each other.
class shared_retry_budget {
public:
    explicit shared_retry_budget(shared_retry_budget_settings settings)
        : m_settings(settings)
    {
    }

    void recordRequest(instant now, const service_id& service);
    // Takes one retry from the budget; returns false if it is used up.
    bool tryTake(instant now, const service_id& service, std::size_t entries);
    retry_usage usage(instant now, const service_id& service, std::size_t entries);
    const retry_totals& totals() const { return m_totals; }

private:
    struct service_counters {
        sliding_window_counter requests;
        sliding_window_counter retries;
    };

    service_counters& countersFor(const service_id& service);

    shared_retry_budget_settings m_settings;
    std::map<service_id, service_counters> m_services;
    retry_totals m_totals;
};

} // namespace appleramp
