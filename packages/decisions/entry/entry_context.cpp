#include "decisions/entry/entry_context.h"

#include "decisions/configuration/configuration_register.h"

namespace appleramp {

operation_number entry_context::callPlatform(platform_call call) const
{
    effects.emplace_back(call_platform { ++lastOperation, std::move(call) });
    return lastOperation;
}

void entry_context::send(link_number link, link_message message) const
{
    effects.emplace_back(send_message { link, { identity.life, configuration.version(), std::move(message) } });
}

void entry_context::recordDecision(decision_kind kind, std::string subject, std::string reason) const
{
    effects.emplace_back(record_decision { { now, kind, std::move(subject), std::move(reason) } });
}

} // namespace appleramp
