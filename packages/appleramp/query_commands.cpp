#include "appleramp/command_descriptor.h"
#include "appleramp/command_error.h"
#include "appleramp/commands.h"
#include "appleramp/operations_responses.h"

#include <Poco/URI.h>
#include <nlohmann/json.hpp>

namespace appleramp {

void showStatus(const command_call& call)
{
    printDocument(call.out, parseSuccessfulResponse(clientFromFlags().get("/v1/status")));
}

void explainSubject(const command_call& call)
{
    Poco::URI uri("/v1/operations/explain");
    uri.addQueryParameter("subject", call.arguments[0]);
    const auto document = parseSuccessfulResponse(clientFromFlags().get(uri.getPathAndQuery()));
    const auto decisions = document.find("decisions");
    if (decisions == document.end() || decisions->empty())
        throw command_error("this entry has no decision on '" + call.arguments[0]
            + "' in its journal; ask the entry that served it, before newer decisions replace it there");
    printDocument(call.out, document);
}

} // namespace appleramp
