#include "wire/configuration_codec.h"

#include "wire/json_messages.h"
#include "wire/wire_error.h"

namespace appleramp {

namespace {

template <typename Value>
Value fromText(std::string_view text)
{
    try {
        return nlohmann::json::parse(text).get<Value>();
    } catch (const nlohmann::json::exception& cause) {
        throw wire_error(std::string("configuration does not decode: ") + cause.what());
    }
}

} // namespace

std::string encodeConfiguration(const fleet_configuration& configuration)
{
    return nlohmann::json(configuration).dump();
}

std::string encodeAcceptedChange(const accepted_change& change) { return nlohmann::json(change).dump(); }

fleet_configuration decodeConfiguration(std::string_view text) { return fromText<fleet_configuration>(text); }
accepted_change decodeAcceptedChange(std::string_view text) { return fromText<accepted_change>(text); }
configuration_change decodeChange(std::string_view text) { return fromText<configuration_change>(text); }

} // namespace appleramp
