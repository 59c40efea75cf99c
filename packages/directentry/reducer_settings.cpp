#include "directentry/reducer_settings.h"

#include <functional>
#include <string>

namespace appleramp {

forwarding_settings reducerSettings(const process_settings& settings, incarnation life)
{
    forwarding_settings result;
    result.freshness.revocationBound = settings.bounds.revocation;
    result.retryBudget = { .requestFraction = settings.bounds.repeatRatio,
        .baseRetries = settings.bounds.repeatConstant,
        .window = settings.bounds.repeatWindow };
    result.fleet.coldRateFactor = settings.bounds.coldFactor;
    result.fleet.coldRateAllowance = settings.bounds.coldConstant;
    result.zone = settings.process.zone;
    result.instance = settings.process.instance.str();
    result.placeByWork = settings.placement.byWork;
    result.fleet.isPaced = settings.placement.pace;
    result.defaultPauseTarget = settings.bounds.pause;
    result.spreadOutageRetries = settings.store.fastReturn;
    result.longestStartWait = settings.entry.startWait;
    result.sharesRoom = settings.admission.sharedRoom;
    // Processes that start at the same moment must not draw the same random numbers.
    result.seed = life ^ std::hash<std::string> {}(settings.process.instance.str());
    return result;
}

} // namespace appleramp
