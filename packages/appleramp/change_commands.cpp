#include "appleramp/change_sender.h"
#include "appleramp/command_descriptor.h"
#include "appleramp/commands.h"
#include "appleramp/flags.h"
#include "appleramp/operations_responses.h"
#include "appleramp/usage_error.h"

#include <nlohmann/json.hpp>

namespace appleramp {

namespace {

void sendChangeAndPrint(const command_call& call, const configuration_change& change)
{
    const std::string changeId = FLAGS_change_id.empty() ? newChangeId() : FLAGS_change_id;
    printDocument(call.out, sendChange(clientFromFlags(), changeId, change));
}

bool isBlank(const std::string& text) { return text.find_first_not_of(" \t") == std::string::npos; }

} // namespace

void addException(const command_call& call)
{
    if (isBlank(FLAGS_reason))
        throw usage_error("an exception needs a written reason; write --reason=\"why\"");
    if (FLAGS_team_limit == 0)
        throw usage_error("an exception needs the team's limit; write --team-limit=N with N of 1 or more");
    sendChangeAndPrint(call, add_exception { { team_id(call.arguments[0]), FLAGS_team_limit, FLAGS_reason } });
}

void removeException(const command_call& call) { sendChangeAndPrint(call, remove_exception { team_id(call.arguments[0]) }); }

void takeZoneOut(const command_call& call)
{
    sendChangeAndPrint(call, take_zone_out { availability_zone_id(call.arguments[0]) });
}

void takeZoneIn(const command_call& call)
{
    sendChangeAndPrint(call, take_zone_in { availability_zone_id(call.arguments[0]) });
}

void takeInstanceOut(const command_call& call)
{
    sendChangeAndPrint(call, take_instance_out { instance_id(call.arguments[0]) });
}

void takeInstanceIn(const command_call& call)
{
    sendChangeAndPrint(call, take_instance_in { instance_id(call.arguments[0]) });
}

} // namespace appleramp
