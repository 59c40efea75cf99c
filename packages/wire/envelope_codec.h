#pragma once

#include "model/messages.h"

#include <string>
#include <string_view>

namespace appleramp {

// Encodes a link message as CBOR.
std::string encodeEnvelope(const link_envelope& envelope);

// Throws wire_error unless the bytes are exactly one well-formed message.
link_envelope decodeEnvelope(std::string_view bytes);

} // namespace appleramp
