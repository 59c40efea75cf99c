#include "appleramp/change_sender.h"
#include "appleramp/command_descriptor.h"
#include "appleramp/command_error.h"
#include "appleramp/commands.h"
#include "appleramp/configuration_document.h"
#include "appleramp/operations_responses.h"
#include "appleramp/text_file.h"
#include "settings/settings.h"
#include "settings/settings_error.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace appleramp {

namespace {

constexpr auto configurationPath = "/v1/operations/configuration";

bool isJson(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    return first != std::string::npos && text[first] == '{';
}

void checkSettings(const std::string& text, const std::string& path)
{
    std::istringstream input(text);
    parseSettings(input, path);
}

nlohmann::json sendChanges(const operations_client& client, const std::vector<configuration_change>& changes)
{
    auto accepted = nlohmann::json::array();
    try {
        for (const configuration_change& change : changes)
            accepted.push_back(sendChange(client, newChangeId(), change));
        return accepted;
    } catch (const command_error& problem) {
        throw command_error(std::to_string(accepted.size()) + " of " + std::to_string(changes.size())
            + " changes were accepted, then: " + problem.what());
    }
}

} // namespace

void checkConfiguration(const command_call& call)
{
    const std::string& path = call.arguments[0];
    const std::string text = readTextFile(path);
    const bool isFleetConfiguration = isJson(text);
    if (isFleetConfiguration)
        readDocument(text, path);
    else
        checkSettings(text, path);
    printDocument(call.out,
        { { "file", path }, { "kind", isFleetConfiguration ? "fleet configuration" : "process settings" },
            { "valid", true } });
}

void getConfiguration(const command_call& call)
{
    printDocument(call.out, parseSuccessfulResponse(clientFromFlags().get(configurationPath)));
}

void putConfiguration(const command_call& call)
{
    const fleet_configuration desired = readDocument(readTextFile(call.arguments[0]), call.arguments[0]);
    const operations_client client = clientFromFlags();
    const auto inForce = parseSuccessfulResponse(client.get(configurationPath));
    const fleet_configuration current = readDocument(inForce.dump(), "the configuration in force");
    if (desired.version != current.version)
        throw command_error("conflict: the file has version " + std::to_string(desired.version) + ", but version "
            + std::to_string(current.version) + " is in force; fetch it with 'appleramp config get --json', edit it and put it again");
    const auto accepted = sendChanges(client, changesBetween(current, desired));
    printDocument(call.out, { { "accepted", accepted } });
}

} // namespace appleramp
