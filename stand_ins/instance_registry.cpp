#include "stand_ins/instance_registry.h"

namespace appleramp::stand_ins {

namespace {

constexpr std::size_t maxSnapshots = 1024;

} // namespace

void instance_registry::put(const listed_instance& instance, clock::time_point now)
{
    const std::lock_guard lock(m_mutex);
    m_current[instance.instance] = instance;
    remember(now);
}

void instance_registry::remove(const instance_id& instance, clock::time_point now)
{
    const std::lock_guard lock(m_mutex);
    m_current.erase(instance);
    remember(now);
}

std::vector<listed_instance> instance_registry::list(clock::time_point now, std::chrono::milliseconds lag) const
{
    const std::lock_guard lock(m_mutex);
    const listing* shown = nullptr;
    for (const auto& past : m_history)
        if (past.since <= now - lag)
            shown = &past.instances;
    std::vector<listed_instance> instances;
    if (!shown)
        return instances;
    for (const auto& [id, instance] : *shown)
        instances.push_back(instance);
    return instances;
}

void instance_registry::remember(clock::time_point now)
{
    m_history.push_back({ now, m_current });
    if (m_history.size() > maxSnapshots)
        m_history.pop_front();
}

} // namespace appleramp::stand_ins
