#pragma once

#include "datagrams/news.h"

#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

std::string encodeNews(const news& message);
// None if the bytes are no news that this version knows.
std::optional<news> decodeNews(std::string_view bytes);

} // namespace appleramp
