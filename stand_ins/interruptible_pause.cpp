#include "stand_ins/interruptible_pause.h"

namespace appleramp::stand_ins {

std::uint64_t interruptible_pause::round() const
{
    const std::lock_guard lock(m_mutex);
    return m_round;
}

bool interruptible_pause::waitFor(std::uint64_t round, std::chrono::milliseconds time)
{
    return waitUntil(round, clock::now() + time);
}

bool interruptible_pause::waitUntil(std::uint64_t round, clock::time_point end)
{
    std::unique_lock lock(m_mutex);
    return !m_wake.wait_until(lock, end, [&] { return m_round != round; });
}

bool interruptible_pause::interrupted(std::uint64_t round) const
{
    const std::lock_guard lock(m_mutex);
    return m_round != round;
}

void interruptible_pause::interrupt()
{
    const std::lock_guard lock(m_mutex);
    ++m_round;
    m_wake.notify_all();
}

} // namespace appleramp::stand_ins
