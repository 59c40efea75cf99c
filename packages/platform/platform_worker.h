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
    // Calls that may wait; further ones are answered Unavailable at once.
    std::size_t maxWaiting = 4096;
    // A call that has waited longer is answered Unavailable instead of being sent.
    duration maxWait = std::chrono::seconds(5);
    // Table calls that travel in one exchange at most.
    std::size_t maxBatch = 64;
    // Spreads the trials of processes during an outage; they need different ones.
    std::uint64_t seed = 1;
    outage_backoff_limits backoff;
};

// Carries out platform calls on threads of its own and hands each result to a handler, once for each call.
// Waiting table calls travel together. During an outage calls are answered Unavailable at once, but for a trial now
// and then, as circuit_breaker decides.
class platform_worker {
public:
    // Called on the worker's threads, or on the poster's if the call cannot be queued.
    using result_handler = std::function<void(operation_number, platform_result)>;
    // Called only when the list could be read.
    using instances_handler = std::function<void(std::vector<listed_instance>)>;

    platform_worker(platform_worker_options options, result_handler onResult, instances_handler onInstances = {});
    // Answers what still waits with Unavailable and waits for calls under way.
    ~platform_worker();
    platform_worker(const platform_worker&) = delete;
    platform_worker& operator=(const platform_worker&) = delete;

    void post(operation_number operation, platform_call call);
    // Reads the instance list. A request while one is waiting adds nothing.
    void postListInstances();
    void stop();

    call_counters counters() const;

private:
    struct waiting_call {
        operation_number operation = 0;
        platform_call call;
        instant posted;
    };
    struct instances_wanted { };
    // Calls that are answered without being sent.
    struct unsent_calls {
        std::vector<waiting_call> calls;
    };
    using job = std::variant<std::vector<waiting_call>, unsent_calls, instances_wanted>;

    void run();
    bool takeJob(job& taken);
    job takeCalls(instant now);
    void carryOut(platform_client& client, std::vector<waiting_call>& calls);
    void carryOut(platform_client& client, unsent_calls& unsent);
    void carryOut(platform_client& client, instances_wanted);
    std::vector<platform_result> resultsOf(platform_client& client, const std::vector<waiting_call>& calls);
    void reportHealth(platform_health health);
    void countResults(const std::vector<waiting_call>& calls, const std::vector<platform_result>& results);
    void answerWaiting();

    const platform_worker_options m_options;
    const result_handler m_onResult;
    const instances_handler m_onInstances;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<waiting_call> m_waiting;
    circuit_breaker m_circuitBreaker;
    call_counters m_counters;
    bool m_listWanted = false;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace appleramp
