#include "stand_ins/engine_faults.h"

#include <nlohmann/json.hpp>

namespace appleramp::stand_ins {

engine_faults updated(engine_faults faults, const nlohmann::json& document)
{
    faults.crashMarker = document.value("crash_marker", faults.crashMarker);
    faults.dropBeforeWork = document.value("drop_before_work", faults.dropBeforeWork);
    faults.dropAfterWork = document.value("drop_after_work", faults.dropAfterWork);
    faults.stall = std::chrono::milliseconds(document.value("stall_ms", faults.stall.count()));
    faults.unhealthy = document.value("unhealthy", faults.unhealthy);
    return faults;
}

engine_incidents incidentsFromJson(const nlohmann::json& document)
{
    return { document.value("turn_cold", false), document.value("crash", false), document.value("restart", false) };
}

nlohmann::json faultsToJson(const engine_faults& faults)
{
    return { { "crash_marker", faults.crashMarker }, { "drop_before_work", faults.dropBeforeWork },
        { "drop_after_work", faults.dropAfterWork }, { "stall_ms", faults.stall.count() },
        { "unhealthy", faults.unhealthy } };
}

} // namespace appleramp::stand_ins
