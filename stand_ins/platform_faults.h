#pragma once

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace appleramp::stand_ins {

// Faults of the stand-in platform that stand at present.
struct platform_faults {
    // Refuses connections and cuts the open ones.
    bool down = false;
    // Of the calls, this share takes effect and then loses its reply.
    std::uint32_t loseReplyPercent = 0;
    // Each call waits this long before it takes effect.
    std::chrono::milliseconds delay {};
    // The instance list shows the state of this long ago.
    std::chrono::milliseconds lag {};
    // After this time all faults end by themselves.
    std::optional<std::chrono::milliseconds> revertAfter;
};

// Changes the faults that the document names and keeps the others.
platform_faults updated(platform_faults faults, const nlohmann::json& document);
nlohmann::json faultsToJson(const platform_faults& faults);

} // namespace appleramp::stand_ins
