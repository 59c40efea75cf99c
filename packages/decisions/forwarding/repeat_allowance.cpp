#include "decisions/forwarding/repeat_allowance.h"

#include <algorithm>

namespace appleramp {

repeat_allowance::service_use& repeat_allowance::use(const service_id& service)
{
    const service_use fresh { arrival_rate(m_settings.window), arrival_rate(m_settings.window) };
    return m_services.try_emplace(service, fresh).first->second;
}

void repeat_allowance::noteRequest(instant now, const service_id& service) { use(service).requests.note(now); }

bool repeat_allowance::take(instant now, const service_id& service, std::size_t entries)
{
    service_use& used = use(service);
    const double share = m_settings.constant / static_cast<double>(std::max<std::size_t>(entries, 1));
    const double budget = m_settings.use * (m_settings.ratio * static_cast<double>(used.requests.count(now)) + share);
    if (static_cast<double>(used.repeats.count(now)) + 1 > budget)
        return false;
    used.repeats.note(now);
    return true;
}

} // namespace appleramp
