#include "decisions/forwarding/shared_retry_budget.h"

#include <algorithm>

namespace appleramp {

shared_retry_budget::service_counters& shared_retry_budget::countersFor(const service_id& service)
{
    const service_counters fresh { sliding_window_counter(m_settings.window), sliding_window_counter(m_settings.window) };
    return m_services.try_emplace(service, fresh).first->second;
}

void shared_retry_budget::recordRequest(instant now, const service_id& service) { countersFor(service).requests.record(now); }

retry_usage shared_retry_budget::usage(instant now, const service_id& service, std::size_t entries)
{
    service_counters& counters = countersFor(service);
    const double share = m_settings.baseRetries / static_cast<double>(std::max<std::size_t>(entries, 1));
    const double earned = m_settings.requestFraction * static_cast<double>(counters.requests.count(now));
    const double age = std::chrono::duration<double>(now - m_startedAt) / m_settings.window;
    // The share grows with the age, so that processes that restart again and again do not get it each time.
    const double allowed = age < 1 ? m_settings.startingFraction * (earned + share * age) : m_settings.usableFraction * (earned + share);
    return { counters.retries.count(now), allowed };
}

bool shared_retry_budget::allows(instant now, const service_id& service, std::size_t entries)
{
    const retry_usage current = usage(now, service, entries);
    return static_cast<double>(current.used) + 1 <= current.allowed;
}

bool shared_retry_budget::tryTake(instant now, const service_id& service, std::size_t entries)
{
    if (!allows(now, service, entries)) {
        ++m_totals.denied;
        return false;
    }
    ++m_totals.granted;
    countersFor(service).retries.record(now);
    return true;
}

} // namespace appleramp
