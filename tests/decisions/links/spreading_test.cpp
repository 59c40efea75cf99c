#include "decisions/links/relay_tree.h"
#include "decisions/links/send_queue.h"

#include <criterion/criterion.h>

#include <map>
#include <queue>
#include <random>
#include <set>

// Pattern: the coordinator of 192 ranks in five zones sends a map to all agents over links of 6 Mbit/s that drop what does
// not fit into a short buffer.

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

constexpr double linkBytesPerSecond = 750'000;
// Time of packets that a link buffers; it drops the rest.
constexpr duration linkBuffer = 60ms;
constexpr duration latency = 1ms;
constexpr send_queue_settings controlHalf { .bytesPerSecond = linkBytesPerSecond / 2, .burstBytes = 7'500, .maxQueuedBytes = 750'000 };
constexpr std::size_t zones = 5;
constexpr std::size_t mapBytes = 2200;

// Receivers of one broadcast in virtual time, with the time at which each got it first.
class spreading {
public:
    spreading(std::size_t ranks, bool isPaced, double lossRate = 0)
        : m_isPaced(isPaced)
        , m_lossRate(lossRate)
    {
        for (std::size_t rank = 1; rank < ranks; ++rank)
            m_zones[rank % zones].push_back("agent-" + std::to_string(rank));
    }

    void silence(const std::string& agent) { m_silent.insert(agent); }

    void broadcast(instant now, std::size_t largestBranch, std::size_t round)
    {
        for (const auto& [zone, agents] : m_zones) {
            for (relay_branch& branch : relayBranches(agents, largestBranch, round))
                send(now, "leader", std::move(branch.relay), std::move(branch.targets));
        }
    }

    // Returns when the last agent was reached, or nothing if some never were.
    std::optional<instant> run()
    {
        while (!m_events.empty()) {
            const arrival next = m_events.top();
            m_events.pop();
            if (next.to.empty()) {
                release(next.at, next.from);
                continue;
            }
            if (m_silent.contains(next.to))
                continue;
            m_reachedAt.emplace(next.to, next.at);
            for (const std::string& target : next.targets)
                send(next.at, next.to, target, {});
        }
        return m_reachedAt.size() < expected() ? std::nullopt : std::optional(latest());
    }

    std::size_t reached() const { return m_reachedAt.size(); }

private:
    struct arrival {
        instant at;
        std::string from;
        // Empty: the sender's queue may send again.
        std::string to;
        std::vector<std::string> targets;
        friend bool operator<(const arrival& left, const arrival& right) { return left.at > right.at; }
    };

    std::size_t expected() const
    {
        std::size_t count = 0;
        for (const auto& [zone, agents] : m_zones)
            count += agents.size();
        return count - m_silent.size();
    }

    instant latest() const
    {
        instant last {};
        for (const auto& [agent, at] : m_reachedAt)
            last = std::max(last, at);
        return last;
    }

    void send(instant now, const std::string& from, std::string to, std::vector<std::string> targets)
    {
        const std::size_t bytes = mapBytes + 20 * targets.size();
        if (!m_isPaced)
            return transmit(now, from, std::move(to), std::move(targets), bytes);
        send_queue& queue = m_queues.try_emplace(from, now, controlHalf).first->second;
        m_targets[to] = std::move(targets);
        queue.push(now, { std::move(to), std::string(bytes, 'm'), datagram_priority::Proposal, "map" });
        release(now, from);
    }

    void release(instant now, const std::string& from)
    {
        send_queue& queue = m_queues.at(from);
        for (const queued_datagram& ready : queue.takeReady(now))
            transmit(now, from, ready.target, m_targets[ready.target], ready.bytes.size());
        if (const auto next = queue.nextSendAt(now))
            m_events.push({ std::max(*next, now + 1us), from, {}, {} });
    }

    void transmit(instant now, const std::string& from, std::string to, std::vector<std::string> targets, std::size_t bytes)
    {
        instant& freeAt = m_linkFreeAt[from];
        freeAt = std::max(freeAt, now);
        if (freeAt - now > linkBuffer || m_loss(m_random) < m_lossRate)
            return;
        freeAt += duration(static_cast<duration::rep>(1e6 * static_cast<double>(bytes) / linkBytesPerSecond));
        m_events.push({ freeAt + latency, from, std::move(to), std::move(targets) });
    }

    bool m_isPaced;
    double m_lossRate;
    std::map<std::size_t, std::vector<std::string>> m_zones;
    std::map<std::string, send_queue> m_queues;
    std::map<std::string, std::vector<std::string>> m_targets;
    std::map<std::string, instant> m_linkFreeAt;
    std::map<std::string, instant> m_reachedAt;
    std::set<std::string> m_silent;
    std::priority_queue<arrival> m_events;
    std::mt19937_64 m_random { 7 };
    std::uniform_real_distribution<double> m_loss { 0, 1 };
};

} // namespace

// What happened before: a burst over the link loses most branches.
Test(spreading, a_burst_to_all_relays_loses_branches)
{
    spreading group(192, false);
    group.broadcast(instant {}, 1, 0);
    cr_assert_not(group.run().has_value());
}

Test(spreading, a_paced_map_reaches_192_ranks_within_300_ms)
{
    spreading group(192, true);
    group.broadcast(instant {}, balancedBranchSize(191), 0);
    const auto last = group.run();
    cr_assert(last.has_value());
    cr_assert(*last <= instant(300ms), "%ld us", static_cast<long>(last->time_since_epoch().count()));
}

// A relay that is gone cuts off its branch once; the next round reaches everybody else.
Test(spreading, a_silent_relay_cuts_off_one_branch_for_one_round)
{
    spreading group(192, true);
    group.silence("agent-1");
    group.broadcast(instant {}, balancedBranchSize(191), 0);
    cr_assert_not(group.run().has_value());
    cr_assert_geq(group.reached(), 170);
    group.broadcast(instant(700ms), balancedBranchSize(191), 1);
    cr_assert(group.run().has_value());
}

Test(spreading, lost_packets_cost_few_receivers_a_round)
{
    for (const double lossRate : { 0.01, 0.1, 0.3 }) {
        spreading group(192, true, lossRate);
        std::size_t rounds = 0;
        while (rounds < 12 && !group.run().has_value()) {
            group.broadcast(instant(700ms * static_cast<int>(rounds)), balancedBranchSize(191), rounds);
            ++rounds;
        }
        cr_assert(group.run().has_value(), "%.2f", lossRate);
        cr_assert_leq(rounds, lossRate < 0.05 ? 3U : 11U);
    }
}
