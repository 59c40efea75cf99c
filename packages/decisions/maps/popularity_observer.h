#pragma once

#include "decisions/maps/expert_map.h"
#include "model/time.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace appleramp {

// What one rank saw in one window of steps. All ranks number the windows alike.
struct rank_report {
    rank_index rank = 0;
    std::uint64_t window = 0;
    // Tokens that this rank's router sent to each expert, layer by layer.
    std::vector<std::uint32_t> counts;
    // Tokens that this rank's own experts worked through, and the time they took.
    std::uint64_t processed = 0;
    duration busy {};
};

enum class popularity_change {
    Steady,
    // Deviations of either sign that do not last.
    Noise,
    // A large deviation that has not lasted long enough to be believed.
    Spike,
    // Deviations of one sign that last.
    Drift,
};

struct observer_settings {
    // Parts of the ranks that must have reported for a window to count.
    double quorum = 0.5;
    // Windows that wait for late reports at any time.
    std::uint32_t openWindows = 2;
    double errorSmoothing = 0.2;
    double minGain = 0.05;
    double maxGain = 0.9;
    // Mean absolute errors beyond which a deviation is cut off until it has lasted.
    double clipErrors = 4.0;
    // Windows that a deviation of one sign must last.
    std::uint32_t confirmWindows = 3;
    // The same, when this part of the load deviates in all layers at once: single experts spike, a changed workload does not.
    std::uint32_t confirmBroadWindows = 2;
    double broadPart = 0.04;
    // Parts of a layer's load that must deviate for the change to be named.
    double notablePart = 0.02;
};

// Follows the popularity of each expert in each layer from the ranks' counts.
//
// Counts are summed over the ranks of a window and divided by the layer's sum, so missing ranks only cost precision.
// The estimate is exponentially decayed with an adaptive gain (Trigg and Leach, 1967): the gain is the ratio of the
// smoothed error to the smoothed absolute error, near zero under noise and near one under drift.
class popularity_observer {
public:
    popularity_observer(const group_shape& shape, observer_settings settings = {});

    // Reports that come twice, or after their window has closed, change nothing.
    void observe(const rank_report& report);

    bool ready() const { return m_closed > 0; }
    // Part of the layer's load that goes to each expert, layer by layer.
    std::span<const double> loads() const { return m_levels; }
    popularity_change change() const { return m_change; }
    // Parts of the load, in the mean over the layers, that deviate as a spike or as a drift.
    double spikePart() const { return m_spikePart; }
    double driftPart() const { return m_driftPart; }

    std::uint64_t closedWindows() const { return m_closed; }
    std::uint64_t discardedWindows() const { return m_discarded; }
    std::uint64_t lateReports() const { return m_late; }

private:
    struct open_window {
        std::vector<std::uint64_t> sums;
        std::vector<char> reported;
        std::uint32_t reports = 0;
    };

    void close(std::uint64_t number);
    void absorbLayer(layer_index layer, std::span<const std::uint64_t> counts);
    void absorb(std::size_t cell, double part, double precision);
    void classify();

    std::uint16_t m_layers;
    std::uint16_t m_experts;
    std::uint32_t m_ranks;
    observer_settings m_settings;
    std::map<std::uint64_t, open_window> m_open;
    std::uint64_t m_nextWindow = 0;
    std::vector<double> m_levels;
    std::vector<float> m_error;
    std::vector<float> m_absoluteError;
    std::vector<std::int8_t> m_run;
    double m_spikePart = 0;
    double m_driftPart = 0;
    double m_noisePart = 0;
    bool m_broad = false;
    popularity_change m_change = popularity_change::Steady;
    std::uint64_t m_closed = 0;
    std::uint64_t m_discarded = 0;
    std::uint64_t m_late = 0;
};

} // namespace appleramp
