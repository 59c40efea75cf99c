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
constexpr duration faultTime = std::chrono::seconds(20);
// Late orders of the last faults are carried out within 12 s.
constexpr duration quietTime = std::chrono::seconds(20);
// The longest freeze that may begin with the last fault.
constexpr duration longestFault = std::chrono::seconds(5);
constexpr duration readInterval = std::chrono::milliseconds(40);
constexpr duration passTime = std::chrono::milliseconds(35);
constexpr duration orderTimeout = std::chrono::milliseconds(100);
constexpr duration choicesInterval = std::chrono::milliseconds(150);
constexpr duration demandShift = std::chrono::milliseconds(2500);

coordinator_limits limits()
{
    coordinator_limits result;
    result.planning.experts = experts;
    result.planning.placesPerRank = 5;
    result.planning.newPerRank = 2;
    result.minChoices = 100;
    return result;
}

class schedule {
public:
    schedule(std::uint64_t seed, const group_faults& faults)
        : m_faults(faults)
        , m_random(seed)
        , m_group(ranks, sets, experts)
        , m_agents(ranks)
    {
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            start(rank);
            m_totals.emplace_back(sets * experts);
        }
        at(passTime, [this] { pass(); });
        at(choicesInterval, [this] { choose(); });
        planFaults();
    }

    group_schedule_result play()
    {
        const instant end = instant {} + faultTime + quietTime;
        while (!m_events.empty() && m_events.begin()->first.first < end) {
            const auto event = m_events.begin();
            m_now = event->first.first;
            m_group.setTime(m_now);
            const auto action = std::move(event->second);
            m_events.erase(event);
            action();
        }
        m_result.mixedPasses = m_group.mixedPasses();
        noteStandstill();
        return m_result;
    }

private:
    struct agent {
        group_agent reducer { limits(), "a" };
        std::uint64_t life = 0;
        bool running = false;
        instant frozenUntil;
        instant cutUntil;
        bool busy = false;
        std::optional<rank_order> order;
        bool listsDue = false;
    };

    void at(duration later, std::function<void()> action) { m_events.emplace(std::pair(m_now + later, ++m_sequence), std::move(action)); }

    bool chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }
    duration between(int lowMs, int highMs)
    {
        return std::chrono::microseconds(std::uniform_int_distribution<int>(lowMs * 1000, highMs * 1000)(m_random));
    }

    // Runs for the same life of an agent, after it has woken.
    void forAgent(std::size_t rank, duration later, std::function<void()> action)
    {
        const std::uint64_t life = m_agents[rank].life;
        at(later, [this, rank, life, action = std::move(action)] {
            agent& self = m_agents[rank];
            if (self.life != life || !self.running)
                return;
            if (self.frozenUntil > m_now)
                return forAgent(rank, self.frozenUntil - m_now, action);
            action();
        });
    }

    void start(std::size_t rank)
    {
        agent& self = m_agents[rank];
        const std::uint64_t life = self.life + 1;
        self = agent {};
        self.life = life;
        self.running = true;
        forAgent(rank, between(1, 40), [this, rank] { read(rank); });
    }

    void read(std::size_t rank)
    {
        agent& self = m_agents[rank];
        if (self.busy)
            return;
        self.busy = true;
        forAgent(rank, between(1, 3), [this, rank] {
            const rank_state state = m_group.read(rank);
            forAgent(rank, between(1, 3), [this, rank, state] {
                m_agents[rank].busy = false;
                handle(rank, rank_read { m_now, state });
                handle(rank, group_time_passed { m_now });
                next(rank, readInterval);
            });
        });
    }

    void next(std::size_t rank, duration pause)
    {
        agent& self = m_agents[rank];
        if (self.busy)
            return;
        if (self.order) {
            const rank_order order = *std::exchange(self.order, std::nullopt);
            return give(rank, order);
        }
        if (std::exchange(self.listsDue, false)) {
            self.busy = true;
            const rank_lists_read lists = m_group.lists(rank);
            return forAgent(rank, between(1, 3), [this, rank, lists] {
                m_agents[rank].busy = false;
                rank_lists_read heard = lists;
                heard.now = m_now;
                handle(rank, heard);
                next(rank, readInterval);
            });
        }
        forAgent(rank, pause, [this, rank] { read(rank); });
    }

    void give(std::size_t rank, const rank_order& order)
    {
        m_agents[rank].busy = true;
        const bool faulty = m_now < instant {} + faultTime;
        const auto apply = [this, rank, order] { return m_group.apply(rank, order); };
        const auto done = [this, rank, order](bool refused) {
            m_agents[rank].busy = false;
            if (refused)
                handle(rank, rank_order_refused { m_now, order });
            read(rank);
        };
        if (faulty && chance(m_faults.ordersLate)) {
            at(between(2000, 12000), apply);
            return forAgent(rank, orderTimeout, [done] { done(false); });
        }
        const bool answerLost = faulty && chance(m_faults.answersLost);
        // The order reaches the engine though the agent may freeze or be killed meanwhile.
        at(between(1, 3), [this, rank, apply, done, answerLost] {
            const bool begun = apply();
            forAgent(rank, answerLost ? orderTimeout : between(1, 3), [done, begun, answerLost] { done(!begun && !answerLost); });
        });
    }

    void handle(std::size_t rank, const group_event& event)
    {
        for (const group_effect& effect : m_agents[rank].reducer.handle(event)) {
            if (const auto* const order = std::get_if<give_order>(&effect))
                m_agents[rank].order = order->order;
            else if (std::holds_alternative<read_lists>(effect))
                m_agents[rank].listsDue = true;
            else if (const auto* const message = std::get_if<outgoing_message>(&effect))
                send(rank, *message);
            else if (const auto* const foreign = std::get_if<read_foreign_rank>(&effect))
                readForeign(rank, foreign->rank);
            else if (const auto* const order = std::get_if<give_foreign_order>(&effect))
                giveForeign(rank, *order);
        }
        if (m_agents[rank].order)
            next(rank, readInterval);
    }

    // Readings from afar are old by some hundred milliseconds. Engines can be reached though their agents can't.
    void readForeign(std::size_t rank, std::size_t other)
    {
        if (m_agents[rank].cutUntil > m_now)
            return;
        const rank_state state = m_group.read(other);
        forAgent(rank, between(100, 300), [this, rank, state] { handle(rank, foreign_rank_read { m_now, state }); });
    }

    void giveForeign(std::size_t rank, const give_foreign_order& effect)
    {
        const bool faulty = m_now < instant {} + faultTime;
        const bool isLate = faulty && chance(m_faults.ordersLate);
        if (m_agents[rank].cutUntil <= m_now)
            at(isLate ? between(2000, 12000) : between(1, 6), [this, effect] { m_group.apply(effect.rank, effect.order); });
    }

    void send(std::size_t from, const outgoing_message& message)
    {
        for (std::size_t to = 0; to < ranks; ++to) {
            if (to == from || (message.rank && *message.rank != to))
                continue;
            const bool faulty = m_now < instant {} + faultTime;
            if (m_agents[from].cutUntil > m_now || (faulty && chance(m_faults.messageLoss)))
                continue;
            deliver(to, message.message);
            if (faulty && chance(m_faults.messageDoubled))
                deliver(to, message.message);
        }
    }

    void deliver(std::size_t to, const group_message& message)
    {
        forAgent(to, between(1, 8), [this, to, message] {
            if (m_agents[to].cutUntil <= m_now)
                handle(to, group_message_heard { m_now, message });
        });
    }

    void pass()
    {
        const map_number before = m_group.mapVersion();
        const pass_number passesBefore = m_group.passes();
        m_group.pass(m_now);
        m_result.mapChanges += m_group.mapVersion() != before ? 1 : 0;
        if (m_group.passes() != passesBefore) {
            noteStandstill();
            m_lastPass = m_now;
        }
        at(passTime, [this] { pass(); });
    }

    void noteStandstill()
    {
        const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - m_lastPass).count();
        m_result.longestHeldMs = std::max(m_result.longestHeldMs, held);
        // A standstill that began with a fault may end some time after the last one.
        const duration settled = faultTime + longestFault + std::chrono::seconds(2);
        if (m_now > instant {} + settled) {
            const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(
                m_now - std::max(m_lastPass, instant {} + settled))
                                   .count();
            m_result.heldAfterFaultsMs = std::max(m_result.heldAfterFaultsMs, after);
        }
    }

    // One expert of each set is in great demand; which one changes.
    void choose()
    {
        const auto favourite = static_cast<std::size_t>(m_now.time_since_epoch() / demandShift) * 5 % experts;
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            for (std::size_t cell = 0; cell < sets * experts; ++cell)
                m_totals[rank][cell] += cell % experts == favourite ? 900 : 100;
            const auto totals = m_totals[rank];
            forAgent(rank, duration(1), [this, rank, totals] { handle(rank, choices_read { m_now, totals }); });
        }
        at(choicesInterval, [this] { choose(); });
    }

    std::size_t anyRank() { return std::uniform_int_distribution<std::size_t>(0, ranks - 1)(m_random); }

    void planFaults()
    {
        const auto anyTime = [this] { return between(1000, static_cast<int>(faultTime / std::chrono::milliseconds(1))); };
        for (int count = 0; count < m_faults.agentKills; ++count)
            at(anyTime(), [this, rank = anyRank()] {
                m_agents[rank].running = false;
                ++m_agents[rank].life;
                at(between(200, 4000), [this, rank] {
                    if (!m_agents[rank].running)
                        start(rank);
                });
            });
        for (int count = 0; count < m_faults.agentFreezes; ++count)
            at(anyTime(), [this, rank = anyRank()] { m_agents[rank].frozenUntil = m_now + between(200, 5000); });
        for (int count = 0; count < m_faults.cuts; ++count)
            at(anyTime(), [this, rank = anyRank()] { m_agents[rank].cutUntil = m_now + between(200, 2000); });
        for (int count = 0; count < m_faults.newEpochs; ++count)
            at(anyTime(), [this] { m_group.formAnew(); });
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
    group_schedule_result m_result;
};

} // namespace

group_schedule_result playGroupSchedule(std::uint64_t seed, const group_faults& faults)
{
    return schedule(seed, faults).play();
}

group_faults drawGroupFaults(std::uint64_t seed)
{
    std::mt19937_64 random(seed * 7919 + 17);
    const auto sometimes = [&](double value) { return random() % 2 == 0 ? value : 0; };
    const auto upTo = [&](int most) { return static_cast<int>(random() % static_cast<std::uint64_t>(most + 1)); };
    return { .messageLoss = sometimes(0.15),
        .messageDoubled = sometimes(0.1),
        .ordersLate = sometimes(0.3),
        .answersLost = sometimes(0.2),
        .agentKills = upTo(5),
        .agentFreezes = upTo(5),
        .newEpochs = upTo(2),
        .cuts = upTo(4) };
}

} // namespace appleramp
