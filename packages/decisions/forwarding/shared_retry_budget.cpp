#include "decisions/forwarding/shared_retry_budget.h"

#include <algorithm>

namespace appleramp {

shared_retry_budget::service_counters& shared_retry_budget::countersFor(const service_id& service)
{
    const service_counters fresh { sliding_window_counter(m_settings.window), sliding_window_counter(m_settings.window) };
    return m_services.try_emplace(service, fresh).first->second;
}

void shared_retry_budget::recordRequest(instant now, const service_id& service) { countersFor(service).requests.record(now); }

bool shared_retry_budget::tryTake(instant now, const service_id& service, std::size_t entries)
{
    service_counters& counters = countersFor(service);
    const double share = m_settings.baseRetries / static_cast<double>(std::max<std::size_t>(entries, 1));
    const double budget = m_settings.usableFraction * (m_settings.requestFraction * static_cast<double>(counters.requests.count(now)) + share);
    if (static_cast<double>(counters.retries.count(now)) + 1 > budget)
        return false;
    counters.retries.record(now);
    return true;
}

} // namespace appleramp
