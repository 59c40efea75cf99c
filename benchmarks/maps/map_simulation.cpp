#include "maps/map_simulation.h"

#include "decisions/maps/lower_bound.h"
#include "decisions/maps/rank_speed_observer.h"
#include "decisions/maps/transfer_budget.h"
#include "maps/baseline_maps.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <ctime>
#include <optional>
#include <vector>

namespace appleramp {

namespace {

constexpr std::uint16_t layerCount = 58;
constexpr std::uint16_t expertCount = 128;
constexpr std::uint64_t expertSize = 44'000'000;
constexpr std::uint64_t storeBytesPerSecond = 1'000'000'000;
constexpr std::uint64_t storeBurstBytes = 600 * storeBytesPerSecond;
constexpr auto slowedRank = 3;
constexpr auto slowedSpeed = 0.6;
constexpr duration rebuildInterval = std::chrono::hours(1);
// Every policy starts from the even map; the way from there is not measured.
constexpr duration warmUp = std::chrono::hours(2);

double cpuMilliseconds()
{
    timespec now {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return double(now.tv_sec) * 1e3 + double(now.tv_nsec) / 1e6;
}

// A map on its way: it takes force when its experts are loaded.
struct pending_map {
    expert_map map;
    instant ready;
};

class simulation {
public:
    explicit simulation(const simulation_settings& settings)
        : m_settings(settings)
        , m_process(settings.drift, layerCount, expertCount, settings.seed)
        , m_truth(simulatedGroup(settings.ranks))
        , m_planner(m_truth)
        , m_popularity(m_truth)
        , m_speeds(settings.ranks)
        , m_budget(storeBytesPerSecond, storeBurstBytes)
        , m_policy(settings.rebalance)
        , m_map(evenMap(m_truth))
        , m_sums(std::size_t(layerCount) * expertCount, 0)
    {
    }

    simulation_figures run()
    {
        const auto windows = m_process.windows();
        for (std::uint32_t window = 0; window < windows; ++window) {
            if (m_settings.drift == drift_kind::SlowRank && window == windows / 2)
                m_truth.ranks[slowedRank].speed = slowedSpeed;
            const auto counts = m_process.next();
            evaluate(counts);
            m_now += m_process.window();
            installReady();
            decide(window, counts);
        }
        return figures();
    }

private:
    bool warming() const { return m_now.time_since_epoch() < warmUp; }

    // The part of the coming window that passes before the map on its way takes force.
    double partBeforeInstall() const
    {
        if (!m_pending || m_pending->ready >= m_now + m_process.window())
            return 1;
        return double((m_pending->ready - m_now).count()) / double(m_process.window().count());
    }

    void installReady()
    {
        if (!m_pending || m_pending->ready > m_now)
            return;
        m_map = std::move(m_pending->map);
        m_pending.reset();
    }

    void evaluate(std::span<const std::uint32_t> counts)
    {
        if (warming())
            return;
        ++m_windows;
        const auto before = partBeforeInstall();
        m_loads.assign(counts.begin(), counts.end());
        double speed = 0;
        for (const auto& rank : m_truth.ranks)
            speed += rank.speed;
        double stepTime = 0;
        double stepBound = 0;
        for (layer_index layer = 0; layer < layerCount; ++layer) {
            const auto loads = std::span<const double>(m_loads).subspan(std::size_t(layer) * expertCount, expertCount);
            double work = 0;
            for (const auto load : loads)
                work += load;
            auto time = layerTime(m_map, layer, loads, m_truth);
            if (before < 1)
                time = before * time + (1 - before) * layerTime(m_pending->map, layer, loads, m_truth);
            const auto bound = layerTimeBound(loads, m_truth);
            m_skews.push_back(float(time / (work / speed)));
            m_ratios.push_back(float(time / bound));
            stepTime += time;
            stepBound += bound;
        }
        m_figures.stepTime += stepTime;
        m_figures.stepRatioToBoundMean += stepTime / stepBound;
    }

    void decide(std::uint32_t window, std::span<const std::uint32_t> counts)
    {
        for (std::size_t cell = 0; cell < counts.size(); ++cell)
            m_sums[cell] += counts[cell];
        if (m_settings.policy == policy_kind::Appleramp) {
            report(window, counts);
            decideByPolicy();
            return;
        }
        if (m_settings.policy != policy_kind::StaticEven && m_now - m_lastRebuild >= rebuildInterval)
            rebuild();
    }

    void report(std::uint32_t window, std::span<const std::uint32_t> counts)
    {
        rank_report report;
        report.window = window;
        report.counts.resize(counts.size());
        for (std::size_t cell = 0; cell < counts.size(); ++cell)
            report.counts[cell] = counts[cell] / m_settings.ranks;
        for (rank_index rank = 0; rank < m_settings.ranks; ++rank) {
            report.rank = rank;
            report.processed = 1'000'000;
            report.busy = duration(std::int64_t(1e6 / m_truth.ranks[rank].speed));
            m_speeds.observe(report);
            m_popularity.observe(report);
        }
    }

    void decideByPolicy()
    {
        if (m_pending)
            return;
        auto shape = m_planner.shape();
        if (m_speeds.apply(shape))
            m_planner = map_planner(shape);
        const auto began = cpuMilliseconds();
        auto decision = m_policy.decide(m_now, m_planner, m_map, m_popularity, m_budget);
        if (decision.choice == rebalance_choice::Keep)
            return;
        noteMapTime(cpuMilliseconds() - began);
        adopt(std::move(decision.map));
    }

    void rebuild()
    {
        m_lastRebuild = m_now;
        const std::vector<double> loads(m_sums.begin(), m_sums.end());
        std::ranges::fill(m_sums, 0);
        const auto began = cpuMilliseconds();
        expert_map map;
        if (m_settings.policy == policy_kind::PeriodicRebuild)
            map = packedMap(m_truth, loads);
        else if (m_settings.policy == policy_kind::PeriodicReplicas)
            map = packedMapWithReplicas(m_truth, loads);
        else
            map = m_planner.plan({}, loads, {}).map;
        noteMapTime(cpuMilliseconds() - began);
        adopt(std::move(map));
    }

    void adopt(expert_map map)
    {
        const auto bytes = movesBetween(m_map, map) * expertSize;
        if (!warming()) {
            m_bytes += double(bytes);
            ++m_switches;
        }
        const auto loading = duration(std::int64_t(double(bytes) / storeBytesPerSecond * 1e6));
        m_pending = { std::move(map), m_now + loading };
    }

    void noteMapTime(double ms)
    {
        m_mapMs += ms;
        ++m_plans;
        m_figures.mapMsMax = std::max(m_figures.mapMsMax, ms);
    }

    simulation_figures figures()
    {
        m_figures.hours = std::chrono::duration<double>(m_now.time_since_epoch() - warmUp).count() / 3600;
        m_figures.skewMean = mean(m_skews);
        m_figures.ratioToBoundMean = mean(m_ratios);
        m_figures.skewP99 = p99(m_skews);
        m_figures.ratioToBoundP99 = p99(m_ratios);
        m_figures.stepRatioToBoundMean /= m_windows;
        m_figures.bytesPerHour = m_bytes / m_figures.hours;
        m_figures.switchesPerHour = m_switches / m_figures.hours;
        const auto hold = std::chrono::duration<double>(m_settings.rebalance.switchHold).count();
        m_figures.heldSecondsPerHour = m_figures.switchesPerHour * hold;
        m_figures.mapMs = m_plans ? m_mapMs / m_plans : 0;
        m_figures.mapBytes = m_map.layer(0).size_bytes() * layerCount;
        return m_figures;
    }

    static double mean(const std::vector<float>& values)
    {
        double sum = 0;
        for (const auto value : values)
            sum += value;
        return sum / double(values.size());
    }

    static double p99(std::vector<float>& values)
    {
        const auto at = values.begin() + std::ptrdiff_t(values.size() * 99 / 100);
        std::ranges::nth_element(values, at);
        return *at;
    }

    simulation_settings m_settings;
    popularity_process m_process;
    group_shape m_truth;
    map_planner m_planner;
    popularity_observer m_popularity;
    rank_speed_observer m_speeds;
    transfer_budget m_budget;
    rebalance_policy m_policy;
    expert_map m_map;
    std::optional<pending_map> m_pending;
    std::vector<double> m_sums;
    std::vector<double> m_loads;
    instant m_now {};
    instant m_lastRebuild {};
    std::vector<float> m_skews;
    std::vector<float> m_ratios;
    double m_bytes = 0;
    double m_mapMs = 0;
    std::uint32_t m_windows = 0;
    int m_plans = 0;
    int m_switches = 0;
    simulation_figures m_figures;
};

} // namespace

std::string_view nameOf(policy_kind kind)
{
    switch (kind) {
    case policy_kind::StaticEven:
        return "static_even";
    case policy_kind::PeriodicRebuild:
        return "periodic_rebuild";
    case policy_kind::PeriodicReplicas:
        return "periodic_replicas";
    case policy_kind::PeriodicPlanner:
        return "periodic_planner";
    case policy_kind::Appleramp:
        return "appleramp";
    }
    return "unknown";
}

group_shape simulatedGroup(std::uint16_t ranks)
{
    group_shape shape;
    shape.layers = layerCount;
    shape.experts = expertCount;
    shape.expertBytes = expertSize;
    // One spare place on each rank.
    const auto places = std::uint16_t((expertCount + ranks - 1) / ranks + 1);
    for (rank_index rank = 0; rank < ranks; ++rank)
        shape.ranks.push_back({ availability_zone_id("zone-" + std::to_string(rank % 3)), places });
    return shape;
}

simulation_figures simulate(const simulation_settings& settings)
{
    return simulation(settings).run();
}

} // namespace appleramp
