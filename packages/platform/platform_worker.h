#pragma once

#include "decisions/platform/circuit_breaker.h"
#include "model/instance.h"
#include "model/platform_call.h"
#include "platform/call_counters.h"
#include "platform/platform_client.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <variant>
#include <vector>

namespace appleramp {

struct platform_worker_options {
    platform_client_options client;
    std::size_t threads = 2;
    // Size limit of the queue. Further calls are answered Unavailable at once.
    std::size_t maxQueuedCalls = 4096;
    // A call that has been queued for longer is answered Unavailable instead of being sent.
    duration maxTimeInQueue = std::chrono::seconds(5);
    // Most table calls that are sent in one request.
    std::size_t maxBatch = 64;
    // Randomizes the backoff during an outage. Each process needs a different seed, so that they do not probe the
    // platform at the same time.
    std::uint64_t seed = 1;
    circuit_breaker_limits backoff;
};

// Executes platform calls on its own threads and passes the result of each call to a handler exactly once. Queued table
// calls are batched. During an outage calls are answered Unavailable without being sent, except for the probes that
// circuit_breaker admits.
class platform_worker {
public:
    // Called on the worker's threads, on the thread that calls post() if the call cannot be queued, and on the thread that
    // calls stop() for calls that are still queued.
    using result_handler = std::function<void(operation_number, platform_result)>;
    // Called only if the list could be read.
    using instances_handler = std::function<void(std::vector<listed_instance>)>;

    platform_worker(platform_worker_options options, result_handler onResult, instances_handler onInstances = {});
    // Calls stop().
    ~platform_worker();
    platform_worker(const platform_worker&) = delete;
    platform_worker& operator=(const platform_worker&) = delete;

    // Queues a call; its result is passed to the handler under the operation number.
    void post(operation_number operation, platform_call call);
    // Requests a read of the instance list. Has no effect while an earlier request is still queued. During an outage the
    // request is dropped unless circuit_breaker admits it.
    void postListInstances();
    // Waits for calls in progress, ends the threads and answers calls that are still queued with Unavailable.
    void stop();

    call_counters counters() const;

private:
    struct queued_call {
        operation_number operation = 0;
        platform_call call;
        instant queuedAt;
    };
    struct list_instances { };
    // Calls to be answered Unavailable without being sent.
    struct unsent_calls {
        std::vector<queued_call> calls;
    };
    using job = std::variant<std::vector<queued_call>, unsent_calls, list_instances>;

    void run();
    bool takeJob(job& taken);
    job takeQueuedCalls(instant now);
    void execute(platform_client& client, std::vector<queued_call>& calls);
    void execute(platform_client& client, unsent_calls& unsent);
    void execute(platform_client& client, list_instances);
    std::vector<platform_result> sendCalls(platform_client& client, const std::vector<queued_call>& calls);
    void recordExchange(platform_health health);
    void countResults(const std::vector<queued_call>& calls, const std::vector<platform_result>& results);
    void answerQueuedCalls();

    const platform_worker_options m_options;
    const result_handler m_onResult;
    const instances_handler m_onInstances;
    mutable std::mutex m_mutex;
    std::condition_variable m_workAvailable;
    std::deque<queued_call> m_queue;
    circuit_breaker m_circuitBreaker;
    call_counters m_counters;
    bool m_listRequested = false;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace appleramp
