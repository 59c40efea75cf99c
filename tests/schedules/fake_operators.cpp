#include "schedules/fake_operators.h"

#include "decisions/configuration/configuration_writer.h"
#include "wire/configuration_codec.h"

#include <nlohmann/json.hpp>

namespace appleramp::tests {

namespace {

constexpr duration zoneOutBound = std::chrono::seconds(3);
constexpr duration resendDelay = std::chrono::milliseconds(700);
constexpr int maxTries = 40;

} // namespace

fake_operators::fake_operators(schedule_world& world)
    : m_world(world)
{
    world.onWork([this](std::size_t agent) { checkZoneWork(agent); });
}

void fake_operators::change(const configuration_change& change)
{
    send("change-" + std::to_string(++m_lastChange), change, 0, [](configuration_version) {});
}

void fake_operators::takeZoneOut(const availability_zone_id& zone)
{
    send("change-" + std::to_string(++m_lastChange), take_zone_out { zone }, 0,
        [this, zone](configuration_version version) { recordZoneState(zone, true, version); });
}

void fake_operators::takeZoneIn(const availability_zone_id& zone)
{
    ++m_zones[zone].pendingIns;
    send("change-" + std::to_string(++m_lastChange), take_zone_in { zone }, 0,
        [this, zone](configuration_version version) {
            recordZoneState(zone, false, version);
            --m_zones[zone].pendingIns;
        });
}

void fake_operators::recordZoneState(const availability_zone_id& zone, bool isOut, configuration_version version)
{
    auto& state = m_zones[zone];
    state.since = m_world.queue().now();
    // Replies to concurrent changes may arrive in a different order than their versions.
    if (version <= state.version)
        return;
    state.version = version;
    state.isOut = isOut;
}

void fake_operators::send(const std::string& changeId, const configuration_change& change, int tries,
    const std::function<void(configuration_version)>& onAccepted)
{
    if (tries >= maxTries)
        return;
    const auto again = [this, changeId, change, tries, onAccepted] {
        m_world.queue().runAfter(resendDelay,
            [this, changeId, change, tries, onAccepted] { send(changeId, change, tries + 1, onAccepted); });
    };
    std::uniform_int_distribution<std::size_t> entry(0, m_world.entries() - 1);
    const bool reached = m_world.post(
        entry(m_world.random()),
        [&](request_number number) { return change_requested { number, changeId, change }; },
        [this, changeId, onAccepted, again](const entry_effect& piece) {
            const auto* document = std::get_if<reply_document>(&piece);
            if (!document || document->status != 200) {
                again();
                return;
            }
            const auto version = nlohmann::json::parse(document->json).at("version").get<configuration_version>();
            m_accepted.push_back({ changeId, version });
            onAccepted(version);
        });
    if (!reached)
        again();
}

void fake_operators::checkZoneWork(std::size_t agent)
{
    const auto& state = m_zones[m_world.agentZone(agent)];
    const bool isOut = state.isOut && state.pendingIns == 0;
    if (isOut && m_world.queue().now() > state.since + zoneOutBound)
        m_world.broken().record("late_zone_work", m_world.agentAddress(agent));
}

void fake_operators::checkAccepted()
{
    for (const auto& entry : m_accepted) {
        const auto row = m_world.table().rows().find(changeRowKey(entry.version));
        const bool stands = row != m_world.table().rows().end()
            && decodeAcceptedChange(row->second.value).changeId == entry.changeId;
        if (!stands)
            m_world.broken().record("lost_or_reverted", entry.changeId);
    }
}

} // namespace appleramp::tests
