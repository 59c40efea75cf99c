#pragma once

#include "datagrams/news.h"

#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

// Encodes a message as a CBOR map.
std::string encodeNews(const news& message);
// Returns nothing if the bytes are not a valid message of a type that this version knows.
std::optional<news> decodeNews(std::string_view bytes);

} // namespace appleramp
