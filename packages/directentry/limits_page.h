#pragma once

#include "decisions/limits/endpoint_limits.h"

#include <span>
#include <string>

namespace appleramp {

// The limits that endpoints name as this entry knows them, as JSON for operators.
std::string limitsPage(instant now, std::span<const endpoint_limits::limit_view> limits, std::size_t entryCount);

} // namespace appleramp
