#pragma once

#include "model/events.h"
#include "platform/platform_worker.h"
#include "runtime/link_transport.h"

#include <utility>
#include <vector>

namespace appleramp {

// Creates a platform worker that posts its results to the process's loop as events. The incarnation is its random seed,
// so that different processes retry at different times during an outage.
template <typename Loop>
platform_worker platformWorkerFor(Loop& loop, const platform_client_options& client, std::size_t threads, incarnation ownIncarnation)
{
    platform_worker_options options;
    options.client = client;
    options.threads = threads;
    options.seed = ownIncarnation;
    return platform_worker(
        options,
        [&loop](operation_number operation, platform_result result) {
            loop.post(platform_replied { operation, std::move(result) });
        },
        [&loop](std::vector<listed_instance> instances) { loop.post(instances_listed { std::move(instances) }); });
}

// Callbacks that post link events to the process's loop.
template <typename Loop>
link_callbacks linkCallbacksFor(Loop& loop)
{
    return { [&loop](const link_opened& event) { loop.post(event); },
        [&loop](const link_closed& event) { loop.post(event); },
        [&loop](message_received event) { loop.post(std::move(event)); } };
}

} // namespace appleramp
