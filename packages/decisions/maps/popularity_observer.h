#pragma once

#include "decisions/maps/expert_map.h"
#include "model/time.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace appleramp {

// Measurements of one rank in one window of steps. All ranks number the windows identically.
struct rank_report {
    rank_index rank = 0;
    std::uint64_t window = 0;
    // Number of tokens that this rank's router sent to each expert, layer by layer.
    std::vector<std::uint32_t> counts;
    // Number of tokens that this rank's own experts processed, and the time that took.
    std::uint64_t processed = 0;
    duration busy {};
};

enum class popularity_change {
    Steady,
    // Deviations of either sign that do not persist.
    Noise,
    // A large deviation that has not lasted long enough to count as a lasting change.
    Spike,
    // Deviations that persist with the same sign.
    Drift,
};

struct observer_settings {
    // Fraction of the ranks that must have reported for a window to count.
    double quorum = 0.5;
    // Number of incomplete windows that are kept open for late reports.
    std::uint32_t maxOpenWindows = 2;
    double errorSmoothing = 0.2;
    double minGain = 0.05;
    double maxGain = 0.9;
    // Multiple of the mean absolute error to which a deviation is clipped until it has persisted.
    double clipFactor = 4.0;
    // Number of windows for which a deviation must persist with the same sign to count in full.
    std::uint32_t confirmWindows = 3;
    // The same if at least broadFraction of the load, in the mean over the layers, deviated as a spike in the last
    // window: a temporary spike affects single experts, a changed workload affects many at once.
    std::uint32_t confirmBroadWindows = 2;
    double broadFraction = 0.04;
    // Fraction of the load, in the mean over the layers, that must deviate for the popularity not to count as steady.
    double notableFraction = 0.02;
};

// Estimates the popularity of each expert in each layer from the token counts of the ranks.
//
// Counts are summed over the ranks of a window and divided by the layer's total, so missing ranks only cost precision.
// The estimate is smoothed exponentially with an adaptive gain (Trigg and Leach, 1967): the gain is the square of the
// ratio of the smoothed error to the smoothed absolute error, within minGain and maxGain. The ratio is near zero under
// noise and near one under drift.
class popularity_observer {
public:
    popularity_observer(const group_shape& shape, observer_settings settings = {});

    // Duplicate reports, and reports for a window that has been closed, are ignored.
    void observe(const rank_report& report);

    bool ready() const { return m_closedWindows > 0; }
    // Estimated fraction of the layer's load that goes to each expert, layer by layer.
    std::span<const double> loads() const { return m_loads; }
    popularity_change change() const { return m_change; }
    // Sum of the deviations that count as spike or as drift, as a fraction of a layer's load, in the mean over the
    // layers.
    double spikeFraction() const { return m_spikeFraction; }
    double driftFraction() const { return m_driftFraction; }

    std::uint64_t closedWindows() const { return m_closedWindows; }
    std::uint64_t discardedWindows() const { return m_discardedWindows; }
    std::uint64_t lateReports() const { return m_lateReports; }

private:
    struct open_window {
        std::vector<std::uint64_t> sums;
        std::vector<char> reported;
        std::uint32_t reports = 0;
    };

    void closeWindow(std::uint64_t number);
    void updateLayer(layer_index layer, std::span<const std::uint64_t> counts);
    void updateLoad(std::size_t cell, double part, double precision);
    void classify();

    std::uint16_t m_layers;
    std::uint16_t m_experts;
    std::uint32_t m_ranks;
    observer_settings m_settings;
    std::map<std::uint64_t, open_window> m_openWindows;
    std::uint64_t m_nextWindow = 0;
    std::vector<double> m_loads;
    std::vector<float> m_error;
    std::vector<float> m_absoluteError;
    std::vector<std::int8_t> m_runLengths;
    double m_spikeFraction = 0;
    double m_driftFraction = 0;
    double m_noiseFraction = 0;
    bool m_broadSpike = false;
    popularity_change m_change = popularity_change::Steady;
    std::uint64_t m_closedWindows = 0;
    std::uint64_t m_discardedWindows = 0;
    std::uint64_t m_lateReports = 0;
};

} // namespace appleramp
