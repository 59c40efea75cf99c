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
        if (!m_stopping && m_waiting.size() < m_options.maxWaiting) {
            m_waiting.push_back({ operation, std::move(call), monotonicNow() });
            m_wake.notify_one();
            return;
        }
        m_counters.countUnsent(call);
    }
    m_onResult(operation, {});
}

void platform_worker::postListInstances()
{
    const std::lock_guard lock(m_mutex);
    m_listWanted = true;
    m_wake.notify_one();
}

void platform_worker::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_wake.notify_all();
    }
    for (auto& thread : m_threads)
        thread.join();
    m_threads.clear();
    answerWaiting();
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
        std::visit([&](auto& work) { carryOut(client, work); }, taken);
}

bool platform_worker::takeJob(job& taken)
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_stopping || m_listWanted || !m_waiting.empty(); });
        if (m_stopping)
            return false;
        const auto now = monotonicNow();
        if (!m_waiting.empty()) {
            taken = takeCalls(now);
            return true;
        }
        m_listWanted = false;
        if (!m_circuitBreaker.allowsCall(now))
            continue;
        taken = instances_wanted {};
        return true;
    }
}

// The first waiting call, with the table calls that follow it if it is one itself; or all that cannot be sent.
platform_worker::job platform_worker::takeCalls(instant now)
{
    std::vector<waiting_call> calls;
    const bool admitted = m_circuitBreaker.allowsCall(now);
    const auto next = [this]() -> const waiting_call& { return m_waiting.front(); };
    const auto take = [&] {
        calls.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    };
    while (!m_waiting.empty() && (!admitted || now - next().posted > m_options.maxWait))
        take();
    if (!calls.empty())
        return unsent_calls { std::move(calls) };
    take();
    const bool batched = isTableCall(calls.front().call);
    while (batched && !m_waiting.empty() && calls.size() < m_options.maxBatch && isTableCall(next().call))
        take();
    return calls;
}

void platform_worker::carryOut(platform_client& client, std::vector<waiting_call>& calls)
{
    auto results = resultsOf(client, calls);
    assert(results.size() == calls.size());
    countResults(calls, results);
    for (std::size_t i = 0; i < calls.size(); ++i)
        m_onResult(calls[i].operation, std::move(results[i]));
}

void platform_worker::carryOut(platform_client&, unsent_calls& unsent)
{
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& waiting : unsent.calls)
            m_counters.countUnsent(waiting.call);
    }
    for (const auto& waiting : unsent.calls)
        m_onResult(waiting.operation, {});
}

void platform_worker::carryOut(platform_client& client, instances_wanted)
{
    std::vector<listed_instance> instances;
    try {
        instances = client.listInstances();
    } catch (const platform_error&) {
        reportHealth(client.lastHealth());
        return;
    }
    reportHealth(client.lastHealth());
    if (m_onInstances)
        m_onInstances(std::move(instances));
}

std::vector<platform_result> platform_worker::resultsOf(
    platform_client& client, const std::vector<waiting_call>& calls)
{
    std::vector<platform_call> batch;
    batch.reserve(calls.size());
    for (const auto& waiting : calls)
        batch.push_back(waiting.call);
    std::vector<platform_result> results;
    const auto callOneByOne = [&] {
        for (const auto& call : batch) {
            results.push_back(client.call(call));
            reportHealth(client.lastHealth());
        }
    };
    if (batch.size() == 1) {
        callOneByOne();
        return results;
    }
    try {
        results = client.callBatch(batch);
        reportHealth(client.lastHealth());
    } catch (const platform_error&) {
        // A value that cannot be written as JSON spoils the batch before anything is sent.
        callOneByOne();
    }
    return results;
}

void platform_worker::reportHealth(platform_health health)
{
    const std::lock_guard lock(m_mutex);
    m_counters.countExchange();
    switch (health) {
    case platform_health::Answering:
        return m_circuitBreaker.succeeded();
    case platform_health::Out:
        return m_circuitBreaker.failed(monotonicNow());
    case platform_health::ReplyLost:
        return m_circuitBreaker.replyLost(monotonicNow());
    }
}

void platform_worker::countResults(
    const std::vector<waiting_call>& calls, const std::vector<platform_result>& results)
{
    const std::lock_guard lock(m_mutex);
    for (std::size_t i = 0; i < calls.size(); ++i)
        m_counters.countSent(calls[i].call, results[i].status);
}

void platform_worker::answerWaiting()
{
    unsent_calls unanswered;
    {
        const std::lock_guard lock(m_mutex);
        for (auto& waiting : m_waiting) {
            m_counters.countUnsent(waiting.call);
            unanswered.calls.push_back(std::move(waiting));
        }
        m_waiting.clear();
    }
    for (const auto& waiting : unanswered.calls)
        m_onResult(waiting.operation, {});
}

} // namespace appleramp
