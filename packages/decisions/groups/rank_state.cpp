#include "decisions/groups/rank_state.h"

#include <algorithm>

namespace appleramp {

bool canNeverBeArmed(const rank_status& status, pass_number pass)
{
    // Such an agent arms only under a hold of its own, and releases that on the outcome.
    if (!status.singleHoldFromPass)
        return status.armedPass != pass;
    const auto& declined = status.declinedPasses;
    const bool isSettled = !status.unsettledArmPass || (*status.unsettledArmPass != 0 && *status.unsettledArmPass != pass);
    return isSettled && status.armedPass != pass && std::find(declined.begin(), declined.end(), pass) != declined.end();
}

std::string_view nameOf(rank_order_kind kind)
{
    switch (kind) {
    case rank_order_kind::Prepare:
        return "prepare";
    case rank_order_kind::Hold:
        return "hold";
    case rank_order_kind::Arm:
        return "arm";
    case rank_order_kind::Disarm:
        return "disarm";
    case rank_order_kind::Release:
        break;
    }
    return "go";
}

} // namespace appleramp
