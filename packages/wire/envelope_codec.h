#pragma once

#include "model/messages.h"

#include <string>
#include <string_view>

namespace appleramp {

// CBOR bytes of one link message.
std::string encodeEnvelope(const link_envelope& envelope);

// Throws wire_error if the bytes are not exactly one well-formed message.
link_envelope decodeEnvelope(std::string_view bytes);

} // namespace appleramp
