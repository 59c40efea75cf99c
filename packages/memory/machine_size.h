#pragma once

#include <cstddef>

namespace appleramp {

// What the machine gives a process.
struct machine_size {
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;
};

// Reads the machine's memory and the process's limit of descriptors. A part that can't be read gets the size of a small machine.
machine_size readMachineSize();

} // namespace appleramp
