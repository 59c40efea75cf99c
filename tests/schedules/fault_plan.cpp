#include "schedules/fault_plan.h"

#include <array>

namespace appleramp::tests {

namespace {

constexpr instant faultsBegin { std::chrono::seconds(3) };
constexpr instant faultsEnd { std::chrono::seconds(12) };
constexpr duration shortestFault = std::chrono::milliseconds(200);
constexpr duration longestFault = std::chrono::seconds(5);
constexpr int occurrences = 2;
constexpr int flaps = 10;
constexpr duration flapTime = std::chrono::milliseconds(300);
constexpr int lostReplyPercent = 40;
constexpr duration slowStore = std::chrono::milliseconds(800);
constexpr duration normalStore = std::chrono::milliseconds(3);

constexpr std::array<fault_kind, 16> kinds { fault_kind::EntryCrash, fault_kind::EntryPause, fault_kind::AgentCrash,
    fault_kind::AgentPause, fault_kind::EndpointCrash, fault_kind::EndpointTurnsCold, fault_kind::EndpointDropsAnswer,
    fault_kind::LinkCut, fault_kind::FramesMangled, fault_kind::StoreDown, fault_kind::StoreSlow,
    fault_kind::StoreLosesReplies, fault_kind::ZoneOutAndIn, fault_kind::ZoneFlaps, fault_kind::TwoZonesOut,
    fault_kind::CrashingRequest };

constexpr std::array<std::string_view, 17> names { "none", "entry_crash", "entry_pause", "agent_crash", "agent_pause",
    "endpoint_crash", "endpoint_turns_cold", "endpoint_drops_answer", "link_cut", "frames_mangled", "store_down",
    "store_slow", "store_loses_replies", "zone_out_and_in", "zone_flaps", "two_zones_out", "crashing_request" };

// Starts one fault now; faults that last end after the given time.
void startFault(schedule_world& world, fake_operators& operators, crashing_caller& crashing, fault_kind kind,
    duration length)
{
    const auto pick = [&world](std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(world.random());
    };
    const auto entry = pick(world.entries());
    const auto agent = pick(world.agents());
    auto& queue = world.queue();
    switch (kind) {
    case fault_kind::None:
        return;
    case fault_kind::EntryCrash:
        world.crashEntry(entry, length);
        return;
    case fault_kind::EntryPause:
        world.pauseEntry(entry, length);
        return;
    case fault_kind::AgentCrash:
        world.crashAgent(agent, length);
        return;
    case fault_kind::AgentPause:
        world.pauseAgent(agent, length);
        return;
    case fault_kind::EndpointCrash:
        world.endpoint(agent).crash();
        return;
    case fault_kind::EndpointTurnsCold:
        world.endpoint(agent).loseWarmUp();
        return;
    case fault_kind::EndpointDropsAnswer:
        world.endpoint(agent).dropNextAnswer();
        return;
    case fault_kind::LinkCut:
        world.network().cut(world.entryAddress(entry), world.agentAddress(agent));
        queue.runAfter(length,
            [&world, entry, agent] { world.network().heal(world.entryAddress(entry), world.agentAddress(agent)); });
        return;
    case fault_kind::FramesMangled:
        world.network().setFrameFaults(true);
        queue.runAfter(length, [&world] { world.network().setFrameFaults(false); });
        return;
    case fault_kind::StoreDown:
        world.setStoreDown(true);
        queue.runAfter(length, [&world] { world.setStoreDown(false); });
        return;
    case fault_kind::StoreSlow:
        world.setStoreDelay(slowStore);
        queue.runAfter(length, [&world] { world.setStoreDelay(normalStore); });
        return;
    case fault_kind::StoreLosesReplies:
        world.setLostReplyPercent(lostReplyPercent);
        queue.runAfter(length, [&world] { world.setLostReplyPercent(0); });
        return;
    case fault_kind::ZoneOutAndIn:
        operators.takeZoneOut(world.agentZone(agent));
        queue.runAfter(length, [&operators, zone = world.agentZone(agent)] { operators.takeZoneIn(zone); });
        return;
    case fault_kind::ZoneFlaps:
        for (int flap = 0; flap < flaps; ++flap) {
            queue.runAfter(flapTime * (2 * flap), [&operators, zone = world.agentZone(agent)] { operators.takeZoneOut(zone); });
            queue.runAfter(flapTime * (2 * flap + 1), [&operators, zone = world.agentZone(agent)] { operators.takeZoneIn(zone); });
        }
        return;
    case fault_kind::TwoZonesOut:
        for (const auto number : { agent, agent + 1 }) {
            operators.takeZoneOut(world.zone(number));
            queue.runAfter(length, [&operators, zone = world.zone(number)] { operators.takeZoneIn(zone); });
        }
        return;
    case fault_kind::CrashingRequest:
        crashing.start();
        return;
    }
}

} // namespace

std::span<const fault_kind> allFaultKinds() { return kinds; }
std::string_view nameOf(fault_kind kind) { return names.at(static_cast<std::size_t>(kind)); }

void planFaults(schedule_world& world, fake_operators& operators, crashing_caller& crashing,
    std::span<const fault_kind> planned)
{
    std::uniform_int_distribution<duration::rep> start(faultsBegin.time_since_epoch().count(),
        faultsEnd.time_since_epoch().count());
    std::uniform_int_distribution<duration::rep> length(shortestFault.count(), longestFault.count());
    for (const auto kind : planned) {
        for (int count = 0; count < occurrences; ++count) {
            const instant when { duration(start(world.random())) };
            const duration lasting(length(world.random()));
            world.queue().runAt(when,
                [&world, &operators, &crashing, kind, lasting] { startFault(world, operators, crashing, kind, lasting); });
        }
    }
}

} // namespace appleramp::tests
