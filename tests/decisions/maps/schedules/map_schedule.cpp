#include "decisions/maps/schedules/map_schedule.h"

#include "decisions/maps/map_coordinator.h"
#include "decisions/maps/rank_guard.h"
#include "decisions/maps/schedules/fake_engines.h"
#include "decisions/maps/schedules/fake_table.h"
#include "decisions/maps/schedules/fault_plan.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace appleramp::testing {

namespace {

using namespace std::chrono_literals;

constexpr instant faultsEnd = instant(12s);
// Longest time that a group may go without ending a step after the last fault.
constexpr duration standstillLimit = 5s;
constexpr duration tickInterval = 20ms;
constexpr duration changeInterval = 700ms;
constexpr operation_number coordinatorOperations = 1'000'000'000;

// Simulates one agent process: its guard, its coordinator, and the faults that affect it.
struct fake_agent {
    incarnation incarnationNumber = 0;
    bool alive = false;
    std::optional<instant> pausedSince;
    bool clockStops = false;
    duration clockLag {};
    std::vector<maps_event_body> deferred;
    std::unique_ptr<rank_guard> guard;
    std::unique_ptr<map_coordinator> coordinator;
    // The highest fencing number promised by any incarnation of the agent.
    fencing_number highestSeen = 0;
};

class schedule {
public:
    schedule(std::uint64_t seed, bool withFaults, bool keepJournal)
        : m_random(seed)
        , m_plan(withFaults ? drawPlan(m_random) : fault_plan {})
        , m_table(m_time, m_random)
        , m_engines(m_time, m_random, m_plan.ranks, m_plan.enginesCheckFencing)
        , m_agents(m_plan.ranks)
        , m_keepJournal(keepJournal)
    {
        m_table.lostReplyProbability = m_plan.lostReplyProbability;
        m_engines.falseInstallProbability = m_plan.falseInstallProbability;
        m_engines.changed = [this](rank_index rank, engine_state state) {
            m_time.post(latency(), [this, rank, state] {
                deliver(rank, m_agents[rank].incarnationNumber, engine_changed { state });
            });
        };
    }

    schedule_result run()
    {
        for (std::size_t rank = 0; rank < m_agents.size(); ++rank)
            startAgent(rank_index(rank));
        requestChange();
        while (m_time.runNext(faultsEnd) && m_engines.mixedSteps() == 0) { }
        endFaults();
        m_engines.resetStandstill();
        while (m_time.runNext(faultsEnd + 2 * standstillLimit) && m_engines.mixedSteps() == 0) { }
        m_result.permanentHolds = m_engines.standstill() > standstillLimit ? 1 : 0;
        m_result.standstillMs = m_engines.standstill().count() / 1000;
        m_result.mixedSteps = m_engines.mixedSteps();
        m_result.steps = m_engines.steps();
        m_result.longestHoldMs = m_engines.longestHold().count() / 1000;
        m_result.plan = describe(m_plan);
        return std::move(m_result);
    }

private:
    void startAgent(rank_index rank)
    {
        auto& agent = m_agents[rank];
        agent.alive = true;
        ++agent.incarnationNumber;
        agent.pausedSince.reset();
        agent.deferred.clear();
        agent.clockLag = {};
        const group_id group("group");
        agent.guard = std::make_unique<rank_guard>(group, rank, agent.incarnationNumber);
        agent.coordinator = std::make_unique<map_coordinator>(group, rank, m_plan.ranks, agent.incarnationNumber);
        tick(rank, agent.incarnationNumber);
    }

    void tick(rank_index rank, incarnation incarnationNumber)
    {
        if (m_agents[rank].incarnationNumber != incarnationNumber || !m_agents[rank].alive)
            return;
        if (!m_agents[rank].pausedSince)
            deliver(rank, incarnationNumber, time_passed {});
        const duration jitter(std::uniform_int_distribution<int>(0, 2000)(m_random));
        m_time.post(tickInterval + jitter, [this, rank, incarnationNumber] { tick(rank, incarnationNumber); });
    }

    // Events for a paused agent are deferred until it continues.
    void deliver(rank_index rank, incarnation incarnationNumber, const maps_event_body& body)
    {
        auto& agent = m_agents[rank];
        if (agent.incarnationNumber != incarnationNumber || !agent.alive)
            return;
        if (agent.pausedSince) {
            agent.deferred.push_back(body);
            return;
        }
        const maps_event event { m_time.now() - agent.clockLag, body };
        if (isForGuard(body)) {
            const auto effects = agent.guard->handle(event);
            agent.highestSeen = std::max(agent.highestSeen, agent.guard->promised().fencing);
            carryOut(rank, incarnationNumber, effects);
        }
        if (isForCoordinator(body) && agent.incarnationNumber == incarnationNumber && agent.alive)
            carryOut(rank, incarnationNumber, agent.coordinator->handle(event));
    }

    static bool isForGuard(const maps_event_body& body)
    {
        if (const auto* received = std::get_if<map_message_received>(&body))
            return isOrder(received->message);
        if (const auto* replied = std::get_if<platform_replied>(&body))
            return replied->operation < coordinatorOperations;
        return !std::holds_alternative<change_wanted>(body);
    }

    static bool isForCoordinator(const maps_event_body& body)
    {
        if (std::holds_alternative<engine_answered>(body) || std::holds_alternative<engine_changed>(body))
            return false;
        return std::holds_alternative<time_passed>(body) || !isForGuard(body);
    }

    void carryOut(rank_index rank, incarnation incarnationNumber, const maps_effects& effects)
    {
        for (const auto& effect : effects)
            std::visit([&](const auto& body) { carryOut(rank, incarnationNumber, body); }, effect);
    }

    void carryOut(rank_index from, incarnation incarnationNumber, const send_map_message& effect)
    {
        injectFaults(from, effect);
        if (m_agents[from].incarnationNumber != incarnationNumber || !m_agents[from].alive)
            return;
        const auto copies = chance(m_plan.duplicationProbability) || std::exchange(m_duplicateNext, false) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (chance(m_plan.lossProbability) || std::exchange(m_loseNext, false))
                continue;
            auto delay = latency() + std::exchange(m_delayNext, {});
            if (chance(m_plan.delayProbability))
                delay += duration(std::uniform_int_distribution<int>(0, 3'000'000)(m_random));
            m_time.post(delay, [this, from, effect] {
                deliver(
                    effect.to, m_agents[effect.to].incarnationNumber, map_message_received { from, effect.message });
            });
        }
    }

    void carryOut(rank_index rank, incarnation incarnationNumber, const order_engine& effect)
    {
        const auto& agent = m_agents[rank];
        const bool changes = !std::holds_alternative<read_engine>(effect.order);
        if (changes && (effect.fencing < agent.highestSeen || !agent.guard->fencingKnown()))
            ++m_result.staleOrders;
        m_engines.order(
            rank, effect, [this, rank, incarnationNumber, number = effect.number](bool done, engine_state state) {
                m_time.post(
                    300us, [=, this] { deliver(rank, incarnationNumber, engine_answered { number, done, state }); });
            });
    }

    void carryOut(rank_index rank, incarnation incarnationNumber, const call_platform& effect)
    {
        m_table.call(
            effect.call, [this, rank, incarnationNumber, operation = effect.operation](platform_result result) {
                deliver(rank, incarnationNumber, platform_replied { operation, std::move(result) });
            });
    }

    void carryOut(rank_index rank, incarnation, const record_decision& effect)
    {
        const auto& reason = effect.entry.reason;
        m_result.changes += reason.find("at every rank") != std::string::npos ? 1 : 0;
        m_result.endings += reason.find("ending without") != std::string::npos ? 1 : 0;
        if (m_keepJournal) {
            const auto ms = std::to_string(m_time.now().time_since_epoch().count() / 1000);
            m_result.journal += ms + " ms, agent " + std::to_string(rank) + ": " + reason + "\n";
        }
    }

    void requestChange()
    {
        if (m_time.now() + changeInterval >= faultsEnd)
            return;
        const auto change = drawChange();

        for (std::size_t rank = 0; rank < m_agents.size(); ++rank)
            deliver(rank_index(rank), m_agents[rank].incarnationNumber, change_wanted { change });
        m_time.post(changeInterval, [this] { requestChange(); });
    }

    group_change drawChange()
    {
        const service_id service("model");
        switch (std::uniform_int_distribution<int>(0, 9)(m_random)) {
        case 0:
            return new_role { "decode" };
        case 1:
            return load_model { service, "2" };
        case 2:
            return load_adapter { service, adapter_id("adapter") };
        default:
            return new_expert_map {};
        }
    }

    void injectFaults(rank_index from, const send_map_message& effect)
    {
        if (m_faultsEnded)
            return;
        const auto number = ++m_sent[effect.message.index()];
        for (const auto& fault : m_plan.faults) {
            if (fault.messageType == effect.message.index() && fault.occurrence == number)
                injectFault(fault, from, effect.to);
        }
    }

    void injectFault(const fault& fault, rank_index from, rank_index to)
    {
        const auto rank = targetOf(fault, from, to);
        switch (fault.kind) {
        case fault_kind::LoseMessage:
            m_loseNext = true;
            return;
        case fault_kind::DelayMessage:
            m_delayNext = fault.length;
            return;
        case fault_kind::DuplicateMessage:
            m_duplicateNext = true;
            return;
        case fault_kind::StallRank:
            m_engines.stall(rank, fault.length);
            return;
        case fault_kind::KillEngine:
            m_engines.kill(rank);
            m_time.post(fault.length, [this, rank] { m_engines.start(rank); });
            return;
        case fault_kind::RestartAgent:
            restartAgent(rank, fault.length);
            return;
        case fault_kind::PauseAgent:
        case fault_kind::PauseAgentAndClock:
            pauseAgent(rank, fault.length, fault.kind == fault_kind::PauseAgentAndClock);
            return;
        case fault_kind::StoreOutage:
            takeStoreDown(fault.length);
            return;
        case fault_kind::StoreOutageAndHolderDeath:
            takeStoreDown(fault.length);
            restartAgent(holder().value_or(rank), fault.length);
            return;
        }
    }

    void restartAgent(rank_index rank, duration after)
    {
        m_agents[rank].alive = false;
        const auto incarnationNumber = m_agents[rank].incarnationNumber;
        m_time.post(after, [this, rank, incarnationNumber] {
            if (!m_agents[rank].alive && m_agents[rank].incarnationNumber == incarnationNumber)
                startAgent(rank);
        });
    }

    void pauseAgent(rank_index rank, duration length, bool clockStops)
    {
        auto& agent = m_agents[rank];
        if (agent.pausedSince)
            return;
        agent.pausedSince = m_time.now();
        agent.clockStops = clockStops;
        m_time.post(length, [this, rank, incarnationNumber = agent.incarnationNumber] {
            if (m_agents[rank].incarnationNumber == incarnationNumber)
                wakeAgent(rank);
        });
    }

    void wakeAgent(rank_index rank)
    {
        auto& agent = m_agents[rank];
        if (!agent.pausedSince)
            return;
        if (agent.clockStops)
            agent.clockLag += m_time.now() - *agent.pausedSince;
        agent.pausedSince.reset();
        for (const auto& body : std::exchange(agent.deferred, {}))
            deliver(rank, agent.incarnationNumber, body);
    }

    void takeStoreDown(duration length)
    {
        m_table.down = true;
        if (!m_plan.storeStaysDown)
            m_time.post(length, [this] { m_table.down = false; });
    }

    std::optional<rank_index> holder() const
    {
        for (std::size_t rank = 0; rank < m_agents.size(); ++rank) {
            const auto& agent = m_agents[rank];
            if (agent.alive && agent.coordinator->isLeader(m_time.now() - agent.clockLag))
                return rank_index(rank);
        }
        return std::nullopt;
    }

    rank_index targetOf(const fault& fault, rank_index from, rank_index to)
    {
        switch (fault.target) {
        case fault_target::Sender:
            return from;
        case fault_target::Receiver:
            return to;
        case fault_target::Holder:
            return holder().value_or(from);
        case fault_target::Any:
            break;
        }
        return rank_index(std::uniform_int_distribution<std::uint32_t>(0, m_plan.ranks - 1)(m_random));
    }

    // Ends all faults. A store that stays down remains so, provided that every agent knows the fencing number.
    void endFaults()
    {
        m_faultsEnded = true;
        m_plan.lossProbability = 0;
        m_plan.duplicationProbability = 0;
        m_plan.delayProbability = 0;
        m_plan.falseInstallProbability = 0;
        m_engines.falseInstallProbability = 0;
        m_table.lostReplyProbability = 0;
        for (std::size_t index = 0; index < m_agents.size(); ++index) {
            const auto rank = rank_index(index);
            wakeAgent(rank);
            m_engines.endStall(rank);
            m_engines.start(rank);
            if (!m_agents[rank].alive)
                startAgent(rank);
        }
        const auto fencingKnown = [](const auto& agent) { return agent.guard->fencingKnown(); };
        if (!m_plan.storeStaysDown || !std::ranges::all_of(m_agents, fencingKnown))
            m_table.down = false;
    }

    bool chance(double probability)
    {
        return probability > 0 && std::uniform_real_distribution<double>()(m_random) < probability;
    }

    duration latency() { return duration(std::uniform_int_distribution<int>(300, 2500)(m_random)); }

    std::mt19937_64 m_random;
    fault_plan m_plan;
    virtual_time m_time;
    fake_table m_table;
    fake_engines m_engines;
    std::vector<fake_agent> m_agents;
    bool m_keepJournal;
    schedule_result m_result;
    std::array<std::uint32_t, std::variant_size_v<map_message>> m_sent {};
    bool m_faultsEnded = false;
    bool m_loseNext = false;
    bool m_duplicateNext = false;
    duration m_delayNext {};
};

} // namespace

schedule_result playSchedule(std::uint64_t seed, bool withFaults, bool keepJournal)
{
    return schedule(seed, withFaults, keepJournal).run();
}

} // namespace appleramp::testing
