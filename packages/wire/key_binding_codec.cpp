#include "wire/key_binding_codec.h"

#include "wire/json_messages.h"
#include "wire/wire_error.h"

namespace appleramp {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(key_binding, attempt, endpoint, agent, agentLife, contentHash, state)

std::string encodeKeyBinding(const key_binding& binding) { return nlohmann::json(binding).dump(); }

key_binding decodeKeyBinding(std::string_view text)
{
    try {
        return nlohmann::json::parse(text).get<key_binding>();
    } catch (const nlohmann::json::exception& cause) {
        throw wire_error(std::string("invalid key binding: ") + cause.what());
    }
}

} // namespace appleramp
