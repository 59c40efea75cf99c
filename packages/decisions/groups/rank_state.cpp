#include "decisions/groups/rank_state.h"

namespace appleramp {

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
