#include "stand_ins/platform_faults.h"

#include <nlohmann/json.hpp>

namespace appleramp::stand_ins {

platform_faults updated(platform_faults faults, const nlohmann::json& document)
{
    using std::chrono::milliseconds;
    faults.down = document.value("down", faults.down);
    faults.loseReplyPercent = document.value("lose_reply_percent", faults.loseReplyPercent);
    faults.delay = milliseconds(document.value("delay_ms", faults.delay.count()));
    faults.lag = milliseconds(document.value("lag_ms", faults.lag.count()));
    faults.revertAfter.reset();
    if (document.contains("revert_after_ms"))
        faults.revertAfter = milliseconds(document.at("revert_after_ms").get<std::int64_t>());
    return faults;
}

nlohmann::json faultsToJson(const platform_faults& faults)
{
    return { { "down", faults.down }, { "lose_reply_percent", faults.loseReplyPercent },
        { "delay_ms", faults.delay.count() }, { "lag_ms", faults.lag.count() } };
}

} // namespace appleramp::stand_ins
