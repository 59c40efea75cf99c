#include "directentry/exchange_stage.h"

namespace appleramp {

std::string_view nameOf(exchange_stage stage)
{
    switch (stage) {
    case exchange_stage::Waiting:
        return "waiting";
    case exchange_stage::Sent:
        return "sent";
    case exchange_stage::Begun:
        break;
    }
    return "begun";
}

} // namespace appleramp
