#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace appleramp {

// An object matches if it has all members of the pattern with matching values; it may have further members. Arrays must
// have equal length and matching elements. All other values must be equal.
bool matches(const nlohmann::json& effect, const nlohmann::json& pattern);

// {"event": N, "effects": [...]}: the event has exactly these effects, in this order.
struct exact_effects {
    std::uint64_t event = 0;
    std::vector<nlohmann::json> effects;
};
// {"event": N, "has": PATTERN}: at least one effect of the event matches.
struct event_has_effect {
    std::uint64_t event = 0;
    nlohmann::json pattern;
};
// {"count": N, "of": PATTERN}: exactly N effects of the whole trace match. {"never": PATTERN} is a count of zero.
struct effect_count {
    std::uint64_t count = 0;
    nlohmann::json pattern;
};
// {"sometime": PATTERN}: at least one effect of the whole trace matches.
struct effect_at_least_once {
    nlohmann::json pattern;
};

using outcome_statement = std::variant<exact_effects, event_has_effect, effect_count, effect_at_least_once>;

// Throws replay_error if the line is not one of the statements above.
outcome_statement parseStatement(std::string_view line);

} // namespace appleramp
