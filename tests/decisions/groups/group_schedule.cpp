#include "group_schedule.h"

#include "fake_group.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace appleramp {

namespace {

constexpr std::size_t ranks = 4;
constexpr std::size_t sets = 2;
constexpr std::size_t experts = 12;
constexpr duration faultPeriod = std::chrono::seconds(20);
// Leaves time for late orders from the end of the fault period, which are carried out within 12 s.
constexpr duration quietPeriod = std::chrono::seconds(20);
// Longest freeze of an agent; it may begin at the end of the fault period.
constexpr duration maxFreeze = std::chrono::seconds(5);
constexpr duration readInterval = std::chrono::milliseconds(40);
// A reading that the agent asks for at once.
constexpr duration promptReadDelay = std::chrono::milliseconds(8);
constexpr duration passInterval = std::chrono::milliseconds(35);
constexpr duration orderTimeout = std::chrono::milliseconds(100);
// Before a giver of a hold is frozen or killed, the agents have found their leader and begun to use single holds.
constexpr duration quietStart = std::chrono::seconds(8);
constexpr duration giverFaultTime = std::chrono::seconds(4);
constexpr double undeliveredOrderSurvives = 0.5;
constexpr duration choicesInterval = std::chrono::milliseconds(150);
constexpr duration demandShiftInterval = std::chrono::milliseconds(2500);

coordinator_limits limits()
{
    coordinator_limits result;
    result.planning.experts = experts;
    result.planning.placesPerRank = 5;
    result.planning.maxNewPerRankAndSet = 2;
    result.minChoices = 100;
    return result;
}

// Runs one schedule: a discrete event simulation of the agents, their messages and orders, and the faults.
class schedule {
public:
    schedule(std::uint64_t seed, const group_faults& faults)
        : m_faults(faults)
        , m_random(seed)
        , m_group(ranks, sets, experts)
        , m_agents(ranks)
    {
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            startAgent(rank);
            m_totals.emplace_back(sets * experts);
        }
        runAfter(passInterval, [this] { tryPass(); });
        runAfter(choicesInterval, [this] { reportChoices(); });
        planFaults();
    }

    group_schedule_result run()
    {
        const instant end = instant {} + faultPeriod + quietPeriod;
        while (!m_events.empty() && m_events.begin()->first.first < end) {
            const auto event = m_events.begin();
            m_now = event->first.first;
            m_group.setTime(m_now);
            const auto action = std::move(event->second);
            m_events.erase(event);
            action();
        }
        m_result.mixedPasses = m_group.mixedPasses();
        recordStandstill();
        return m_result;
    }

private:
    struct agent {
        group_agent reducer { limits(), "a" };
        // Changes whenever the agent is killed or started, which cancels its pending actions.
        std::uint64_t incarnation = 0;
        bool running = false;
        instant frozenUntil;
        instant disconnectedUntil;
        bool busy = false;
        // Identifies the latest planned reading of the engine; earlier ones are dropped.
        std::uint64_t plannedReading = 0;
        std::optional<rank_order> order;
        bool listsDue = false;
    };

    void runAfter(duration later, std::function<void()> action) { m_events.emplace(std::pair(m_now + later, ++m_sequence), std::move(action)); }

    bool chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }
    duration between(int lowMs, int highMs)
    {
        return std::chrono::microseconds(std::uniform_int_distribution<int>(lowMs * 1000, highMs * 1000)(m_random));
    }

    // Runs the action unless the agent is killed before. If the agent is frozen then, the action runs when it resumes.
    void runForAgent(std::size_t rank, duration later, std::function<void()> action)
    {
        const std::uint64_t life = m_agents[rank].incarnation;
        runAfter(later, [this, rank, life, action = std::move(action)] {
            agent& self = m_agents[rank];
            if (self.incarnation != life || !self.running)
                return;
            if (self.frozenUntil > m_now)
                return runForAgent(rank, self.frozenUntil - m_now, action);
            action();
        });
    }

    void startAgent(std::size_t rank)
    {
        agent& self = m_agents[rank];
        const std::uint64_t life = self.incarnation + 1;
        self = agent {};
        self.incarnation = life;
        self.running = true;
        self.reducer.setSingleHold(static_cast<double>(rank) < m_faults.singleHold * ranks);
        runForAgent(rank, between(1, 40), [this, rank] { readEngine(rank); });
    }

    void readEngine(std::size_t rank)
    {
        agent& self = m_agents[rank];
        if (self.busy)
            return;
        self.busy = true;
        runForAgent(rank, between(1, 3), [this, rank] {
            const rank_state state = m_group.read(rank);
            runForAgent(rank, between(1, 3), [this, rank, state] {
                m_agents[rank].busy = false;
                handle(rank, rank_state_read { m_now, state });
                handle(rank, group_tick { m_now });
                continueAgent(rank, readInterval);
            });
        });
    }

    void continueAgent(std::size_t rank, duration pause)
    {
        agent& self = m_agents[rank];
        if (self.busy)
            return;
        if (self.order) {
            const rank_order order = *std::exchange(self.order, std::nullopt);
            return sendOrder(rank, order);
        }
        if (std::exchange(self.listsDue, false)) {
            self.busy = true;
            const expert_lists_read lists = m_group.readLists(rank);
            return runForAgent(rank, between(1, 3), [this, rank, lists] {
                m_agents[rank].busy = false;
                expert_lists_read heard = lists;
                heard.now = m_now;
                handle(rank, heard);
                continueAgent(rank, readInterval);
            });
        }
        planReading(rank, pause);
    }

    void planReading(std::size_t rank, duration pause)
    {
        const std::uint64_t planned = ++m_agents[rank].plannedReading;
        runForAgent(rank, pause, [this, rank, planned] {
            if (m_agents[rank].plannedReading == planned)
                readEngine(rank);
        });
    }

    void sendOrder(std::size_t rank, const rank_order& order)
    {
        m_agents[rank].busy = true;
        countOrder(rank, order, false);
        const bool faulty = m_now < instant {} + faultPeriod;
        const auto apply = [this, rank, order] { return m_group.apply(rank, order); };
        const auto done = [this, rank, order](bool refused) {
            m_agents[rank].busy = false;
            if (refused)
                handle(rank, rank_order_refused { m_now, order });
            readEngine(rank);
        };
        if (faulty && chance(m_faults.lateOrders)) {
            runAfter(between(2000, 12000), apply);
            return runForAgent(rank, orderTimeout, [done] { done(false); });
        }
        const bool answerLost = faulty && chance(m_faults.lostAnswers);
        // The order reaches the engine even if the agent freezes or is killed in the meantime.
        runAfter(between(1, 3), [this, rank, apply, done, answerLost] {
            const bool begun = apply();
            runForAgent(rank, answerLost ? orderTimeout : between(1, 3), [done, begun, answerLost] { done(!begun && !answerLost); });
        });
    }

    void handle(std::size_t rank, const group_event& event)
    {
        for (const group_effect& effect : m_agents[rank].reducer.handle(event)) {
            if (const auto* const order = std::get_if<send_order>(&effect))
                m_agents[rank].order = order->order;
            else if (std::holds_alternative<read_expert_lists>(effect))
                m_agents[rank].listsDue = true;
            else if (const auto* const message = std::get_if<outgoing_message>(&effect))
                send(rank, *message);
            else if (const auto* const foreign = std::get_if<read_silent_rank>(&effect))
                readSilentRank(rank, foreign->rank);
            else if (const auto* const order = std::get_if<send_silent_rank_order>(&effect))
                orderSilentRank(rank, *order);
            else if (std::holds_alternative<read_rank_state>(effect) && !m_agents[rank].busy)
                planReading(rank, promptReadDelay);
        }
        if (m_agents[rank].order)
            continueAgent(rank, readInterval);
    }

    bool isReachable(std::size_t from, std::size_t engine) const
    {
        const bool isFrozen = m_faults.frozenEnginesAreUnreachable && m_agents[engine].frozenUntil > m_now;
        return m_agents[from].disconnectedUntil <= m_now && !isFrozen;
    }

    // A reading of another rank's engine is 100 to 300 ms old when it arrives. An engine can be reached even if its own agent
    // is cut off.
    void readSilentRank(std::size_t rank, std::size_t other)
    {
        if (!isReachable(rank, other))
            return;
        const rank_state state = m_group.read(other);
        runForAgent(rank, between(100, 300), [this, rank, state] { handle(rank, silent_rank_read { m_now, state }); });
    }

    void orderSilentRank(std::size_t rank, const send_silent_rank_order& effect)
    {
        countOrder(rank, effect.order, true);
        const auto apply = [this, effect] { m_group.apply(effect.rank, effect.order); };
        const bool faulty = m_now < instant {} + faultPeriod;
        if (!isReachable(rank, effect.rank)) {
            const instant wakes = m_agents[effect.rank].frozenUntil;
            if (wakes > m_now && chance(undeliveredOrderSurvives))
                runAfter(wakes - m_now + between(1, 50), apply);
            return;
        }
        if (faulty && chance(m_faults.foreignOrderFaults)) {
            const bool isLost = chance(undeliveredOrderSurvives);
            if (!isLost)
                runAfter(between(200, 12000), apply);
            if (isLost || chance(undeliveredOrderSurvives))
                return;
        }
        const bool isLate = faulty && chance(m_faults.lateOrders);
        runAfter(isLate ? between(2000, 12000) : between(1, 6), apply);
    }

    void countOrder(std::size_t rank, const rank_order& order, bool isForeign)
    {
        ++m_result.orders;
        m_result.foreignOrders += isForeign ? 1 : 0;
        const bool hitsGiver = (m_faults.freezeAtHold || m_faults.killAtHold) && order.kind == rank_order_kind::Hold && m_now > instant {} + quietStart;
        if (!hitsGiver || std::exchange(m_giverWasHit, true))
            return;
        if (m_faults.freezeAtHold)
            m_agents[rank].frozenUntil = m_now + giverFaultTime;
        else
            // The order is sent before the agent ends.
            runAfter(duration(1), [this, rank] { killAgent(rank, giverFaultTime); });
    }

    void killAgent(std::size_t rank, duration downTime)
    {
        m_agents[rank].running = false;
        ++m_agents[rank].incarnation;
        runAfter(downTime, [this, rank] {
            if (!m_agents[rank].running)
                startAgent(rank);
        });
    }

    void send(std::size_t from, const outgoing_message& message)
    {
        for (std::size_t to = 0; to < ranks; ++to) {
            if (to == from || (message.rank && *message.rank != to))
                continue;
            const bool faulty = m_now < instant {} + faultPeriod;
            if (m_agents[from].disconnectedUntil > m_now || (faulty && chance(m_faults.messageLoss)))
                continue;
            deliver(to, message.message);
            if (faulty && chance(m_faults.messageDuplication))
                deliver(to, message.message);
        }
    }

    void deliver(std::size_t to, const group_message& message)
    {
        runForAgent(to, between(1, 8), [this, to, message] {
            if (m_agents[to].disconnectedUntil <= m_now)
                handle(to, group_message_received { m_now, message });
        });
    }

    void tryPass()
    {
        const group_map_version before = m_group.mapVersion();
        const pass_number passesBefore = m_group.passes();
        m_group.tryPass(m_now);
        m_result.mapChanges += m_group.mapVersion() != before ? 1 : 0;
        if (m_group.passes() != passesBefore) {
            recordStandstill();
            m_lastPass = m_now;
        }
        runAfter(passInterval, [this] { tryPass(); });
    }

    void recordStandstill()
    {
        const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - m_lastPass).count();
        m_result.longestHeldMs = std::max(m_result.longestHeldMs, held);
        // A standstill that a fault caused may last somewhat longer than the fault itself.
        const duration settled = faultPeriod + maxFreeze + std::chrono::seconds(2);
        if (m_now > instant {} + settled) {
            const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(
                m_now - std::max(m_lastPass, instant {} + settled))
                                   .count();
            m_result.heldAfterFaultsMs = std::max(m_result.heldAfterFaultsMs, after);
        }
    }

    // One expert of each set is in much higher demand than the others, and a different one after each interval.
    void reportChoices()
    {
        const auto popularExpert = static_cast<std::size_t>(m_now.time_since_epoch() / demandShiftInterval) * 5 % experts;
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            for (std::size_t cell = 0; cell < sets * experts; ++cell)
                m_totals[rank][cell] += cell % experts == popularExpert ? 900 : 100;
            const auto totals = m_totals[rank];
            runForAgent(rank, duration(1), [this, rank, totals] { handle(rank, choice_totals_read { m_now, totals }); });
        }
        runAfter(choicesInterval, [this] { reportChoices(); });
    }

    std::size_t drawRank() { return std::uniform_int_distribution<std::size_t>(0, ranks - 1)(m_random); }

    void planFaults()
    {
        const auto drawTime = [this] { return between(1000, static_cast<int>(faultPeriod / std::chrono::milliseconds(1))); };
        for (int count = 0; count < m_faults.agentKills; ++count)
            runAfter(drawTime(), [this, rank = drawRank()] {
                killAgent(rank, between(200, 4000));
            });
        for (int count = 0; count < m_faults.agentFreezes; ++count)
            runAfter(drawTime(), [this, rank = drawRank()] { m_agents[rank].frozenUntil = m_now + between(200, 5000); });
        for (int count = 0; count < m_faults.disconnections; ++count)
            runAfter(drawTime(), [this, rank = drawRank()] { m_agents[rank].disconnectedUntil = m_now + between(200, 2000); });
        for (int count = 0; count < m_faults.regroupings; ++count)
            runAfter(drawTime(), [this] { m_group.reform(); });
    }

    group_faults m_faults;
    std::mt19937_64 m_random;
    fake_group m_group;
    std::vector<agent> m_agents;
    std::vector<std::vector<std::uint32_t>> m_totals;
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> m_events;
    std::uint64_t m_sequence = 0;
    instant m_now;
    instant m_lastPass;
    bool m_giverWasHit = false;
    group_schedule_result m_result;
};

} // namespace

group_schedule_result runGroupSchedule(std::uint64_t seed, const group_faults& faults)
{
    return schedule(seed, faults).run();
}

group_faults drawGroupFaults(std::uint64_t seed)
{
    std::mt19937_64 random(seed * 7919 + 17);
    const auto sometimes = [&](double value) { return random() % 2 == 0 ? value : 0; };
    const auto upTo = [&](int most) { return static_cast<int>(random() % static_cast<std::uint64_t>(most + 1)); };
    return { .messageLoss = sometimes(0.15),
        .messageDuplication = sometimes(0.1),
        .lateOrders = sometimes(0.3),
        .lostAnswers = sometimes(0.2),
        .agentKills = upTo(5),
        .agentFreezes = upTo(5),
        .regroupings = upTo(2),
        .disconnections = upTo(4),
        .foreignOrderFaults = sometimes(0.3),
        .frozenEnginesAreUnreachable = random() % 4 != 0 };
}

} // namespace appleramp
