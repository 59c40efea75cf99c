#pragma once

#include <string_view>

namespace appleramp {

// Throws wire_error unless the bytes are one CBOR item of the forms that encodeEnvelope writes: definite lengths that
// fit into the bytes, no tags, bounded depth. The CBOR library decodes by recursion, so that bytes of a peer must
// pass this first.
void checkCborStructure(std::string_view bytes);

} // namespace appleramp
