#include "appleramp/operations_responses.h"

#include "appleramp/command_error.h"
#include "appleramp/flags.h"
#include "appleramp/human_text.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace appleramp {

namespace {

std::string oneLine(std::string text)
{
    for (char& c : text) {
        if (c == '\n' || c == '\r')
            c = ' ';
    }
    return text;
}

std::string member(const nlohmann::json& document, const char* name)
{
    const auto found = document.find(name);
    return found != document.end() && found->is_string() ? found->get<std::string>() : "";
}

[[noreturn]] void throwRefused(const operations_response& response, const nlohmann::json& document)
{
    if (!document.is_object())
        throw command_error("the entry responded with status " + std::to_string(response.status)
            + "; check that --entry names an operations address");
    std::string text = "refused, " + member(document, "execution") + ": " + member(document, "detail");
    text += " (" + member(document, "reason") + ", status " + std::to_string(response.status) + ")";
    throw command_error(oneLine(text));
}

} // namespace

operations_client clientFromFlags() { return { FLAGS_entry, FLAGS_timeout_ms }; }

nlohmann::json parseSuccessfulResponse(const operations_response& response)
{
    auto document = nlohmann::json::parse(response.body, nullptr, false);
    if (!response.isSuccess())
        throwRefused(response, document);
    if (document.is_discarded())
        throw command_error("the entry's response is not JSON; check that --entry names an operations address");
    return document;
}

void printDocument(std::ostream& out, const nlohmann::json& document)
{
    if (FLAGS_json)
        out << document.dump() << '\n';
    else
        out << humanText(document);
}

} // namespace appleramp
