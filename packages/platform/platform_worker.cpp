#include "platform/platform_worker.h"

#include "platform/platform_error.h"

#include <cassert>

namespace appleramp {

namespace {

instant monotonicNow()
{
    return instant(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace

platform_worker::platform_worker(
    platform_worker_options options, result_handler onResult, instances_handler onInstances)
    : m_options(std::move(options))
    , m_onResult(std::move(onResult))
    , m_onInstances(std::move(onInstances))
    , m_circuitBreaker(m_options.seed, m_options.backoff)
{
    for (std::size_t i = 0; i < m_options.threads; ++i)
        m_threads.emplace_back([this] { run(); });
}

platform_worker::~platform_worker()
{
    stop();
}

void platform_worker::post(operation_number operation, platform_call call)
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_stopping && m_queue.size() < m_options.maxQueuedCalls) {
            m_queue.push_back({ operation, std::move(call), monotonicNow() });
            m_workAvailable.notify_one();
            return;
        }
        m_counters.countUnsent(call);
    }
    m_onResult(operation, {});
}

void platform_worker::postListInstances()
{
    const std::lock_guard lock(m_mutex);
    m_listRequested = true;
    m_workAvailable.notify_one();
}

void platform_worker::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_workAvailable.notify_all();
    }
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
    answerQueuedCalls();
}

call_counters platform_worker::counters() const
{
    const std::lock_guard lock(m_mutex);
    return m_counters;
}

void platform_worker::run()
{
    platform_client client(m_options.client);
    job taken;
    while (takeJob(taken))
        std::visit([&](auto& takenJob) { execute(client, takenJob); }, taken);
}

bool platform_worker::takeJob(job& taken)
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_workAvailable.wait(lock, [this] { return m_stopping || m_listRequested || !m_queue.empty(); });
        if (m_stopping)
            return false;
        const auto now = monotonicNow();
        if (!m_queue.empty()) {
            taken = takeQueuedCalls(now);
            return true;
        }
        m_listRequested = false;
        if (!m_circuitBreaker.allowsCall(now))
            continue;
        taken = list_instances {};
        return true;
    }
}

// Takes the calls at the front of the queue that must not be sent: all of them if the backoff does not admit one now,
// otherwise those that were queued for too long. If there are none, takes the first call, and if it is a table call, the
// table calls that follow it, up to maxBatch.
platform_worker::job platform_worker::takeQueuedCalls(instant now)
{
    std::vector<queued_call> calls;
    const bool admitted = m_circuitBreaker.allowsCall(now);
    const auto next = [this]() -> const queued_call& { return m_queue.front(); };
    const auto takeNext = [&] {
        calls.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    };
    while (!m_queue.empty() && (!admitted || now - next().queuedAt > m_options.maxTimeInQueue))
        takeNext();
    if (!calls.empty())
        return unsent_calls { std::move(calls) };
    takeNext();
    const bool batched = isTableCall(calls.front().call);
    while (batched && !m_queue.empty() && calls.size() < m_options.maxBatch && isTableCall(next().call))
        takeNext();
    return calls;
}

void platform_worker::execute(platform_client& client, std::vector<queued_call>& calls)
{
    auto results = sendCalls(client, calls);
    assert(results.size() == calls.size());
    countResults(calls, results);
    for (std::size_t i = 0; i < calls.size(); ++i)
        m_onResult(calls[i].operation, std::move(results[i]));
}

void platform_worker::execute(platform_client&, unsent_calls& unsent)
{
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& queued : unsent.calls)
            m_counters.countUnsent(queued.call);
    }
    for (const auto& queued : unsent.calls)
        m_onResult(queued.operation, {});
}

void platform_worker::execute(platform_client& client, list_instances)
{
    std::vector<listed_instance> instances;
    try {
        instances = client.listInstances();
    } catch (const platform_error&) {
        recordExchange(client.lastHealth());
        return;
    }
    recordExchange(client.lastHealth());
    if (m_onInstances)
        m_onInstances(std::move(instances));
}

std::vector<platform_result> platform_worker::sendCalls(
    platform_client& client, const std::vector<queued_call>& calls)
{
    std::vector<platform_call> batch;
    batch.reserve(calls.size());
    for (const auto& queued : calls)
        batch.push_back(queued.call);
    std::vector<platform_result> results;
    const auto callOneByOne = [&] {
        for (const auto& call : batch) {
            results.push_back(client.call(call));
            recordExchange(client.lastHealth());
        }
    };
    if (batch.size() == 1) {
        callOneByOne();
        return results;
    }
    try {
        results = client.callBatch(batch);
        recordExchange(client.lastHealth());
    } catch (const platform_error&) {
        // A value that cannot be encoded as JSON makes callBatch() throw before anything is sent, so the calls are sent
        // one by one.
        callOneByOne();
    }
    return results;
}

void platform_worker::recordExchange(platform_health health)
{
    const std::lock_guard lock(m_mutex);
    m_counters.countExchange();
    switch (health) {
    case platform_health::Answering:
        return m_circuitBreaker.succeeded();
    case platform_health::Unavailable:
        return m_circuitBreaker.failed(monotonicNow());
    case platform_health::ReplyLost:
        return m_circuitBreaker.replyLost(monotonicNow());
    }
}

void platform_worker::countResults(
    const std::vector<queued_call>& calls, const std::vector<platform_result>& results)
{
    const std::lock_guard lock(m_mutex);
    for (std::size_t i = 0; i < calls.size(); ++i)
        m_counters.countSent(calls[i].call, results[i].status);
}

void platform_worker::answerQueuedCalls()
{
    unsent_calls remaining;
    {
        const std::lock_guard lock(m_mutex);
        for (auto& queued : m_queue) {
            m_counters.countUnsent(queued.call);
            remaining.calls.push_back(std::move(queued));
        }
        m_queue.clear();
    }
    for (const auto& queued : remaining.calls)
        m_onResult(queued.operation, {});
}

} // namespace appleramp
