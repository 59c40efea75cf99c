#pragma once

#include "model/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace appleramp::detection {

// One question to a peer and when its answer came.
struct probe {
    instant sent;
    std::optional<instant> answered;
};

// What an observer has seen of the peers on one path; the newest probe is the last.
struct peer_history {
    std::deque<probe> probes;
    std::size_t zone = 0;
};

using peer_histories = std::vector<peer_history>;

// A peer is suspect once an answer is overdue by a fixed time.
class fixed_timeout {
public:
    explicit fixed_timeout(duration limit)
        : m_limit(limit)
    {
    }
    bool suspects(const peer_histories& peers, std::size_t peer, instant now) const;

private:
    duration m_limit;
};

// Phi accrual: a peer is suspect once the silence since its last answer is too unlikely, by a normal distribution of
// the times between its answers.
class phi_accrual {
public:
    explicit phi_accrual(double threshold)
        : m_threshold(threshold)
    {
    }
    bool suspects(const peer_histories& peers, std::size_t peer, instant now) const;

private:
    double m_threshold;
};

// The idea of the Theta-Model: a peer is suspect once its answer is overdue by a ratio to the slowest answer that other
// peers on the same path gave to questions of the same time.
class theta_ratio {
public:
    explicit theta_ratio(double ratio)
        : m_ratio(ratio)
    {
    }
    bool suspects(const peer_histories& peers, std::size_t peer, instant now) const;

private:
    double m_ratio;
};

} // namespace appleramp::detection
