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
    // As usableFraction, while a process is younger than the window. Its predecessor may have used its whole share just before it ended, so
    // that both fractions together must stay below one.
    double startingFraction = 0.1;
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
// keep the budget even while they cannot reach each other. The budget lives in the process: the one that follows it, which may be
// the next of many within a window, does not know what was sent before.
class shared_retry_budget {
public:
    shared_retry_budget(instant startedAt, shared_retry_budget_settings settings)
        : m_startedAt(startedAt)
        , m_settings(settings)
    {
    }

    void recordRequest(instant now, const service_id& service);
    bool allows(instant now, const service_id& service, std::size_t entries);
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

    instant m_startedAt;
    shared_retry_budget_settings m_settings;
    std::map<service_id, service_counters> m_services;
    retry_totals m_totals;
};

} // namespace appleramp
