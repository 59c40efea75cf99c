#pragma once

#include "decisions/limits/endpoint_limits.h"
#include "decisions/pace/endpoint_restriction.h"

#include <span>
#include <string>

namespace appleramp {

// The limits that endpoints name, and why endpoints take less than their peers, as this entry knows it; JSON for operators.
std::string limitsPage(instant now, std::span<const endpoint_limits::limit_view> limits, std::span<const restriction_view> restrictions, std::size_t entryCount);

} // namespace appleramp
