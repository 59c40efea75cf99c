#pragma once

#include "datagrams/datagram_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

// Encodes a message as a CBOR map.
std::string encodeDatagram(const datagram_message& message);
// Returns nothing if the bytes are not a valid message of a type that this version knows.
std::optional<datagram_message> decodeDatagram(std::string_view bytes);

} // namespace appleramp
