#include "decisions/maps/schedules/fault_plan.h"

#include "decisions/maps/map_messages.h"

#include <variant>

namespace appleramp::testing {

namespace {

constexpr auto kinds = 10;
constexpr auto targets = 4;

std::uint64_t draw(std::mt19937_64& random, std::uint64_t low, std::uint64_t high)
{
    return std::uniform_int_distribution<std::uint64_t>(low, high)(random);
}

bool chance(std::mt19937_64& random, double probability)
{
    return std::uniform_real_distribution<double>()(random) < probability;
}

double drawProbability(std::mt19937_64& random, double most)
{
    return chance(random, 0.3) ? std::uniform_real_distribution<double>(0, most)(random) : 0;
}

fault drawFault(std::mt19937_64& random)
{
    fault result;
    result.kind = fault_kind(draw(random, 0, kinds - 1));
    result.target = fault_target(draw(random, 0, targets - 1));
    result.messageType = draw(random, 0, std::variant_size_v<map_message> - 1);
    result.occurrence = std::uint32_t(draw(random, 1, 25));
    result.length = std::chrono::milliseconds(chance(random, 0.5) ? draw(random, 5, 400) : draw(random, 400, 6000));
    return result;
}

} // namespace

fault_plan drawPlan(std::mt19937_64& random)
{
    fault_plan plan;
    plan.ranks = std::uint32_t(draw(random, 2, 5));
    plan.enginesCheckFencing = chance(random, 0.5);
    plan.lossProbability = drawProbability(random, 0.2);
    plan.duplicationProbability = drawProbability(random, 0.3);
    plan.delayProbability = drawProbability(random, 0.1);
    plan.lostReplyProbability = drawProbability(random, 0.4);
    plan.falseInstallProbability = chance(random, 0.1) ? 0.2 : 0;
    plan.storeStaysDown = chance(random, 0.5);
    const auto count = draw(random, 1, 5);
    for (std::uint64_t i = 0; i < count; ++i)
        plan.faults.push_back(drawFault(random));
    return plan;
}

std::string describe(const fault_plan& plan)
{
    static constexpr const char* names[kinds] = { "lose", "delay", "duplicate", "stall rank", "kill engine",
        "restart agent", "pause agent", "pause agent and clock", "store outage", "store outage and holder death" };
    auto text = std::to_string(plan.ranks) + " ranks, message loss " + std::to_string(plan.lossProbability)
        + ", duplication " + std::to_string(plan.duplicationProbability) + ", delay "
        + std::to_string(plan.delayProbability) + ", lost table replies " + std::to_string(plan.lostReplyProbability)
        + ", false installs " + std::to_string(plan.falseInstallProbability)
        + (plan.storeStaysDown ? ", store stays down" : "");
    for (const auto& fault : plan.faults) {
        text += "; " + std::string(names[std::size_t(fault.kind)]) + " at message type "
            + std::to_string(fault.messageType) + " number " + std::to_string(fault.occurrence) + " for "
            + std::to_string(fault.length.count() / 1000) + " ms";
    }
    return text;
}

} // namespace appleramp::testing
