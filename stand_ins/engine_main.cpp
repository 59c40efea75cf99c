#include "stand_ins/model_engine.h"
#include "stand_ins/plain_service.h"
#include "stand_ins/stop_signals.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <cstdlib>
#include <iostream>

DEFINE_string(kind, "model", "What to stand in for: model or service");
DEFINE_uint32(port, 0, "Port on loopback; 0: one that the kernel chooses");
DEFINE_uint32(control_port, 0, "Port of /faults that stays open after a crash; 0: the kernel chooses");
DEFINE_string(model, "stand-in", "Name of the model in the answers");
DEFINE_uint32(tokens, 32, "Tokens of an answer whose request sets no max_tokens");
DEFINE_double(first_token_ms, 20, "Milliseconds until the first token");
DEFINE_double(ms_per_token, 5, "Milliseconds between tokens");
DEFINE_double(work_ms, 0, "Milliseconds that an order takes (service)");
DEFINE_uint32(capacity, 64, "Requests at a time; further ones are answered 503");
DEFINE_uint32(cold_capacity, 4, "Requests at a time that a cold engine bears");
DEFINE_uint32(warm_after, 0, "Completed requests that make a cold engine warm; 0: it starts warm");
DEFINE_string(on_crash, "exit", "What a crash does: exit, or refuse connections until a restart is asked for");

namespace {

using namespace appleramp::stand_ins;

constexpr auto crashExitCode = 70;
constexpr auto microsecondsPerMillisecond = 1000.0;

std::chrono::microseconds fromMilliseconds(double milliseconds)
{
    return std::chrono::microseconds(std::llround(milliseconds * microsecondsPerMillisecond));
}

engine_host_options hostOptions()
{
    engine_host_options options;
    options.port = static_cast<std::uint16_t>(FLAGS_port);
    options.controlPort = static_cast<std::uint16_t>(FLAGS_control_port);
    options.capacity = FLAGS_capacity;
    options.coldCapacity = FLAGS_cold_capacity;
    options.warmAfter = FLAGS_warm_after;
    if (FLAGS_on_crash == "exit")
        options.onCrash = [] { std::_Exit(crashExitCode); };
    return options;
}

void announce(engine_host& host)
{
    std::cout << nlohmann::json { { "port", host.port() }, { "control_port", host.controlPort() } } << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Stand-in for a model engine or a plain service");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const stop_signals signals;
    if (FLAGS_kind == "model") {
        model_engine engine({ hostOptions(), FLAGS_model, FLAGS_tokens, fromMilliseconds(FLAGS_first_token_ms),
            fromMilliseconds(FLAGS_ms_per_token) });
        announce(engine.host());
        signals.wait();
        return 0;
    }
    if (FLAGS_kind == "service") {
        plain_service service(
            { hostOptions(), std::chrono::duration_cast<std::chrono::milliseconds>(fromMilliseconds(FLAGS_work_ms)) });
        announce(service.host());
        signals.wait();
        return 0;
    }
    std::cerr << "unknown --kind '" << FLAGS_kind << "': use model or service" << std::endl;
    return 2;
}
