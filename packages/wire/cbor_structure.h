#pragma once

#include <string_view>

namespace appleramp {

// Throws wire_error unless the bytes are a single CBOR item of the forms that encodeEnvelope writes: definite lengths
// that do not exceed the remaining bytes, no tags, bounded depth. Bytes from a peer must be checked before they are
// decoded: the CBOR library decodes recursively, so that deep nesting could overflow its stack.
void checkCborStructure(std::string_view bytes);

} // namespace appleramp
