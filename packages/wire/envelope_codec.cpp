#include "wire/envelope_codec.h"

#include "wire/cbor_structure.h"
#include "wire/json_messages.h"
#include "wire/wire_error.h"

namespace appleramp {

std::string encodeEnvelope(const link_envelope& envelope)
{
    std::string bytes;
    nlohmann::json::to_cbor(nlohmann::json(envelope), bytes);
    return bytes;
}

link_envelope decodeEnvelope(std::string_view bytes)
{
    checkCborStructure(bytes);
    try {
        return nlohmann::json::from_cbor(bytes).get<link_envelope>();
    } catch (const nlohmann::json::exception& cause) {
        throw wire_error(std::string("invalid link message: ") + cause.what());
    }
}

} // namespace appleramp
