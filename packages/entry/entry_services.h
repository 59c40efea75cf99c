#pragma once

#include "entry/reply_channel.h"
#include "model/events.h"

#include <atomic>
#include <functional>

namespace appleramp {

class body_budget;
class decision_journal;
class metrics_registry;

// The parts of an entry_process that its HTTP handlers use: the reducer's event queue, observability and limits.
struct entry_services {
    std::function<void(entry_event_body)> post;
    reply_channels& replies;
    decision_journal& journal;
    metrics_registry& metrics;
    std::size_t maxBodyBytes = 0;
    std::size_t maxHeaderBytes = 0;
    duration requestReadTimeout {};
    duration defaultTimeout {};
    body_budget& bodies;
    // Answers close their connections, so that callers go to other entries.
    std::atomic<bool> isStopping = false;
};

} // namespace appleramp
