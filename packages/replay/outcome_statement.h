#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace appleramp {

// An effect matches a pattern if it has all members of the pattern with matching values; arrays have as many elements
// as the pattern's.
bool matches(const nlohmann::json& effect, const nlohmann::json& pattern);

// {"event": N, "effects": [...]}: the event has exactly these effects, in this order.
struct exact_effects {
    std::uint64_t event = 0;
    std::vector<nlohmann::json> effects;
};
// {"event": N, "has": PATTERN}
struct effect_of_event {
    std::uint64_t event = 0;
    nlohmann::json pattern;
};
// {"count": N, "of": PATTERN}: in the whole trace. {"never": PATTERN} is a count of zero.
struct effect_count {
    std::uint64_t count = 0;
    nlohmann::json pattern;
};
// {"sometime": PATTERN}: at least once in the whole trace.
struct effect_sometime {
    nlohmann::json pattern;
};

using outcome_statement = std::variant<exact_effects, effect_of_event, effect_count, effect_sometime>;

// Throws replay_error if the line states nothing that is known.
outcome_statement parseStatement(std::string_view line);

} // namespace appleramp
