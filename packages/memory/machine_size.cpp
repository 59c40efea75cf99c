#include "memory/machine_size.h"

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <string>

namespace appleramp {

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
constexpr std::size_t smallMemoryBytes = 112 * mebibyte;
constexpr std::size_t smallDescriptors = 1024;
// An unlimited number of descriptors is taken for this one.
constexpr rlim_t maxDescriptors = 1'000'000;

std::size_t readMemoryBytes()
{
    std::ifstream lines("/proc/meminfo");
    std::string name;
    std::size_t kibibytes = 0;
    std::string unit;
    while (lines >> name >> kibibytes && std::getline(lines, unit)) {
        if (name == "MemTotal:")
            return kibibytes * kibibyte;
    }
    return smallMemoryBytes;
}

std::size_t readDescriptors()
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return smallDescriptors;
    return static_cast<std::size_t>(std::min(limit.rlim_cur, maxDescriptors));
}

} // namespace

machine_size readMachineSize() { return { readMemoryBytes(), readDescriptors() }; }

machine_size configuredMachineSize(std::size_t memoryMebibytes, std::size_t descriptors)
{
    const machine_size found = readMachineSize();
    return { memoryMebibytes > 0 ? memoryMebibytes * mebibyte : found.memoryBytes,
        descriptors > 0 ? std::min(descriptors, found.descriptors) : found.descriptors, memoryMebibytes > 0 };
}

} // namespace appleramp
