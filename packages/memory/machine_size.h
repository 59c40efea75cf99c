#pragma once

#include <cstddef>

namespace appleramp {

// What the machine gives a process.
struct machine_size {
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;
    // The settings name the memory. What is found may be shared with other processes.
    bool isMemoryStated = false;
};

// Reads the machine's memory and the process's limit of descriptors. A part that can't be read gets the size of a small machine.
machine_size readMachineSize();

// The same with what the settings say in its place; zero where they say nothing.
machine_size configuredMachineSize(std::size_t memoryMebibytes, std::size_t descriptors);

} // namespace appleramp
