#include "runtime/process_clock.h"

#include <ctime>

#include <chrono>
#include <random>

namespace appleramp {

namespace {

// With 20 random bits below the milliseconds, incarnations stay below 2^63 until the year 2248.
constexpr unsigned randomBits = 20;

} // namespace

instant monotonicNow()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return instant(std::chrono::duration_cast<duration>(now));
}

instant suspendAwareNow()
{
    timespec now {};
    if (::clock_gettime(CLOCK_BOOTTIME, &now) != 0)
        return monotonicNow();
    return instant(std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

std::chrono::system_clock::time_point wallClockAtZero()
{
    return std::chrono::system_clock::now() - monotonicNow().time_since_epoch();
}

incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    std::random_device device;
    const auto random = device() & ((1U << randomBits) - 1U);
    return (static_cast<incarnation>(milliseconds) << randomBits) | random;
}

} // namespace appleramp
