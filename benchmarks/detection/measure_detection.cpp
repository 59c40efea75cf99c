#include "detectors.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>
#include <random>
#include <string>
#include <variant>

DEFINE_uint64(seed, 1, "Seed of delays and faults");
DEFINE_uint32(rounds, 200, "Runs of each fault");

using namespace appleramp;
using namespace appleramp::detection;

namespace {

using detector = std::variant<fixed_timeout, phi_accrual, theta_ratio>;

constexpr std::size_t peerCount = 16;
constexpr std::size_t zoneCount = 3;
constexpr std::size_t faultyPeer = 3;
constexpr duration step = std::chrono::milliseconds(10);
constexpr duration probeInterval = std::chrono::milliseconds(100);
constexpr std::size_t keptProbes = 64;
constexpr instant faultBegins { std::chrono::seconds(10) };
constexpr instant runEnds { std::chrono::seconds(20) };
constexpr duration stallTime = std::chrono::milliseconds(1500);
constexpr duration pauseTime = std::chrono::milliseconds(800);
constexpr duration slowZoneTime = std::chrono::seconds(5);
constexpr int slowZoneFactor = 150;

enum class fault {
    None,
    ObserverStall,
    SlowZone,
    PeerPause,
    PeerCrash,
};

struct run_result {
    // Peers that were suspected although they were not down.
    std::size_t falseSuspicions = 0;
    std::optional<duration> detection;
};

// One observer that asks its peers at a steady rate, in virtual time, with one fault.
class observer_run {
public:
    observer_run(const detector& rule, fault kind, std::uint64_t seed)
        : m_rule(rule)
        , m_fault(kind)
        , m_random(seed)
        , m_peers(peerCount)
        , m_onTheWay(peerCount)
        , m_suspected(peerCount)
    {
        for (std::size_t peer = 0; peer < peerCount; ++peer)
            m_peers[peer].zone = peer % zoneCount;
    }

    run_result run()
    {
        for (instant now {}; now < runEnds; now += step) {
            const bool stalled
                = m_fault == fault::ObserverStall && now >= faultBegins && now < faultBegins + stallTime;
            if (stalled)
                continue;
            receive(now);
            if (now >= m_nextProbe)
                ask(now);
            judge(now);
        }
        return m_result;
    }

private:
    struct pending_answer {
        instant sent;
        instant arrives;
    };

    bool isDuring(instant now, duration length) const { return now >= faultBegins && now < faultBegins + length; }

    duration roundTrip(std::size_t peer, instant now)
    {
        std::lognormal_distribution<double> milliseconds(1.1, 0.5);
        auto delay = milliseconds(m_random);
        if (m_fault == fault::SlowZone && m_peers[peer].zone == faultyPeer % zoneCount && isDuring(now, slowZoneTime))
            delay *= slowZoneFactor;
        return duration(static_cast<std::int64_t>(delay * 1000));
    }

    void ask(instant now)
    {
        m_nextProbe = now + probeInterval;
        for (std::size_t peer = 0; peer < peerCount; ++peer) {
            auto& probes = m_peers[peer].probes;
            probes.push_back({ now, std::nullopt });
            if (probes.size() > keptProbes)
                probes.pop_front();
            auto arrives = now + roundTrip(peer, now);
            if (peer == faultyPeer && m_fault == fault::PeerCrash && now >= faultBegins)
                continue;
            if (peer == faultyPeer && m_fault == fault::PeerPause && isDuring(now, pauseTime))
                arrives = std::max(arrives, faultBegins + pauseTime);
            m_onTheWay[peer].push_back({ now, arrives });
        }
    }

    void receive(instant now)
    {
        for (std::size_t peer = 0; peer < peerCount; ++peer) {
            std::erase_if(m_onTheWay[peer], [&](const auto& answer) {
                if (answer.arrives > now)
                    return false;
                for (auto& probe : m_peers[peer].probes) {
                    if (probe.sent == answer.sent)
                        probe.answered = now;
                }
                return true;
            });
        }
    }

    void judge(instant now)
    {
        for (std::size_t peer = 0; peer < peerCount; ++peer) {
            const bool suspected
                = std::visit([&](const auto& rule) { return rule.suspects(m_peers, peer, now); }, m_rule);
            const bool isNew = suspected && !m_suspected[peer];
            m_suspected[peer] = suspected;
            if (!isNew)
                continue;
            const bool isDown = m_fault == fault::PeerCrash && peer == faultyPeer && now >= faultBegins;
            if (!isDown)
                ++m_result.falseSuspicions;
            else if (!m_result.detection)
                m_result.detection = now - faultBegins;
        }
    }

    detector m_rule;
    fault m_fault;
    std::mt19937_64 m_random;
    peer_histories m_peers;
    std::vector<std::vector<pending_answer>> m_onTheWay;
    std::vector<bool> m_suspected;
    instant m_nextProbe;
    run_result m_result;
};

nlohmann::json measure(const detector& rule)
{
    nlohmann::json figures;
    const std::pair<const char*, fault> faults[] { { "none", fault::None }, { "observer_stall", fault::ObserverStall },
        { "slow_zone", fault::SlowZone }, { "peer_pause", fault::PeerPause }, { "peer_crash", fault::PeerCrash } };
    for (const auto& [name, kind] : faults) {
        std::size_t wrong = 0;
        std::vector<double> detections;
        for (std::uint64_t round = 0; round < FLAGS_rounds; ++round) {
            const auto result = observer_run(rule, kind, FLAGS_seed * 1000003 + round).run();
            wrong += result.falseSuspicions;
            if (result.detection)
                detections.push_back(std::chrono::duration<double>(*result.detection).count());
        }
        figures[name]["false_suspicions_per_run"] = static_cast<double>(wrong) / FLAGS_rounds;
        if (kind != fault::PeerCrash)
            continue;
        std::sort(detections.begin(), detections.end());
        figures[name]["detected_share"] = static_cast<double>(detections.size()) / FLAGS_rounds;
        if (!detections.empty()) {
            figures[name]["median_s"] = detections[detections.size() / 2];
            figures[name]["slowest_s"] = detections.back();
        }
    }
    return figures;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("compares failure detectors under a stall, a slow zone, a pause and a crash");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::pair<const char*, detector> rules[] {
        { "fixed_500ms", fixed_timeout(std::chrono::milliseconds(500)) },
        { "fixed_1s", fixed_timeout(std::chrono::seconds(1)) },
        { "fixed_2s", fixed_timeout(std::chrono::seconds(2)) }, { "phi_8", phi_accrual(8) },
        { "phi_12", phi_accrual(12) }, { "theta_5", theta_ratio(5) }, { "theta_10", theta_ratio(10) },
        { "theta_25", theta_ratio(25) }
    };
    nlohmann::json result;
    for (const auto& [name, rule] : rules) {
        result[name] = measure(rule);
        std::cout << name << ' ' << result[name] << std::endl;
    }
    result["seed"] = FLAGS_seed;
    std::cout << result << std::endl;
    return 0;
}
