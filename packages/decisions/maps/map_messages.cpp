#include "decisions/maps/map_messages.h"

namespace appleramp {

bool isOrder(const map_message& message)
{
    return std::holds_alternative<collect_rank>(message) || std::holds_alternative<prepare_rank>(message)
        || std::holds_alternative<hold_rank>(message) || std::holds_alternative<install_rank>(message)
        || std::holds_alternative<resume_rank>(message);
}

} // namespace appleramp
