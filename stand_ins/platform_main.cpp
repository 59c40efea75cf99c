#include "stand_ins/platform_stand_in.h"
#include "stand_ins/stop_signals.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <iostream>

DEFINE_uint32(port, 0, "Port on loopback; 0: one that the kernel chooses");
DEFINE_uint32(control_port, 0, "Port of /faults that stays open while the platform is down; 0: the kernel chooses");
DEFINE_uint32(seed, 1, "Seed of the choice of lost replies");

int main(int argc, char** argv)
{
    using namespace appleramp::stand_ins;
    gflags::SetUsageMessage("Stand-in for the platform: table service, object store and instance list in memory");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const stop_signals signals;
    platform_stand_in platform(
        { static_cast<std::uint16_t>(FLAGS_port), static_cast<std::uint16_t>(FLAGS_control_port), FLAGS_seed });
    std::cout << nlohmann::json { { "port", platform.port() }, { "control_port", platform.controlPort() } } << std::endl;
    signals.wait();
    return 0;
}
