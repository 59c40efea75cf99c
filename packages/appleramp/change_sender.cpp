#include "appleramp/change_sender.h"

#include "appleramp/command_error.h"
#include "appleramp/operations_responses.h"
#include "wire/configuration_codec.h"

#include <Poco/UUID.h>
#include <Poco/UUIDGenerator.h>
#include <nlohmann/json.hpp>

namespace appleramp {

std::string newChangeId() { return Poco::UUIDGenerator::defaultGenerator().createRandom().toString(); }

nlohmann::json sendChange(
    const operations_client& client, const std::string& changeId, const configuration_change& change)
{
    const auto content = nlohmann::json::parse(encodeAcceptedChange({ 0, changeId, change })).at("change");
    const nlohmann::json body = { { "change_id", changeId }, { "change", content } };
    try {
        auto document = parseSuccessfulResponse(client.post("/v1/operations/changes", body.dump()));
        document["change_id"] = changeId;
        return document;
    } catch (const command_error& problem) {
        throw command_error(std::string(problem.what()) + " [--change-id=" + changeId + "]");
    }
}

} // namespace appleramp
