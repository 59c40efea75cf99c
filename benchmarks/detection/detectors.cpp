#include "detectors.h"

#include <algorithm>
#include <cmath>

namespace appleramp::detection {

namespace {

// Deviations below this are noise of the clock and the scheduler.
constexpr double leastDeviation = 0.02;
constexpr std::size_t minIntervals = 10;
// Answers faster than this are not told apart.
constexpr duration leastRoundTrip = std::chrono::milliseconds(20);
constexpr std::size_t minWitnesses = 2;

double secondsOf(duration time) { return std::chrono::duration<double>(time).count(); }

const probe* oldestOpen(const peer_history& peer)
{
    const auto open = std::find_if(peer.probes.begin(), peer.probes.end(),
        [](const auto& probe) { return !probe.answered; });
    return open == peer.probes.end() ? nullptr : &*open;
}

std::vector<instant> answersOf(const peer_history& peer)
{
    std::vector<instant> answers;
    for (const auto& probe : peer.probes) {
        if (probe.answered)
            answers.push_back(*probe.answered);
    }
    return answers;
}

} // namespace

bool fixed_timeout::suspects(const peer_histories& peers, std::size_t peer, instant now) const
{
    const auto* open = oldestOpen(peers[peer]);
    return open && now - open->sent > m_limit;
}

bool phi_accrual::suspects(const peer_histories& peers, std::size_t peer, instant now) const
{
    const auto answers = answersOf(peers[peer]);
    if (answers.size() <= minIntervals)
        return false;
    double sum = 0;
    double squares = 0;
    for (std::size_t index = 1; index < answers.size(); ++index) {
        const auto interval = secondsOf(answers[index] - answers[index - 1]);
        sum += interval;
        squares += interval * interval;
    }
    const auto count = static_cast<double>(answers.size() - 1);
    const auto mean = sum / count;
    const auto deviation = std::max(leastDeviation, std::sqrt(std::max(0.0, squares / count - mean * mean)));
    const auto silence = secondsOf(now - answers.back());
    const auto later = 0.5 * std::erfc((silence - mean) / (deviation * std::sqrt(2.0)));
    return later <= 0 || -std::log10(later) > m_threshold;
}

bool theta_ratio::suspects(const peer_histories& peers, std::size_t peer, instant now) const
{
    const auto* open = oldestOpen(peers[peer]);
    if (!open)
        return false;
    duration slowest = leastRoundTrip;
    std::size_t witnesses = 0;
    for (std::size_t other = 0; other < peers.size(); ++other) {
        if (other == peer || peers[other].zone != peers[peer].zone)
            continue;
        bool hasAnswered = false;
        for (const auto& probe : peers[other].probes) {
            if (!probe.answered || probe.sent < open->sent)
                continue;
            hasAnswered = true;
            slowest = std::max(slowest, *probe.answered - probe.sent);
        }
        witnesses += hasAnswered ? 1 : 0;
    }
    return witnesses >= minWitnesses && secondsOf(now - open->sent) > m_ratio * secondsOf(slowest);
}

} // namespace appleramp::detection
