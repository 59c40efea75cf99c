#include "platform/platform_worker.h"

#include "platform/platform_error.h"

#include <algorithm>
#include <cassert>

namespace appleramp {

namespace {

bool allUnavailable(const std::vector<platform_result>& results)
{
    return std::all_of(results.begin(), results.end(),
        [](const platform_result& result) { return result.status == platform_status::Unavailable; });
}

} // namespace

platform_worker::platform_worker(
    platform_worker_options options, result_handler onResult, instances_handler onInstances)
    : m_options(std::move(options))
    , m_onResult(std::move(onResult))
    , m_onInstances(std::move(onInstances))
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
            m_waiting.push_back({ operation, std::move(call) });
            m_wake.notify_one();
            return;
        }
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
    m_wake.wait(lock, [this] { return m_stopping || m_listWanted || !m_waiting.empty(); });
    if (m_stopping)
        return false;
    if (m_listWanted) {
        m_listWanted = false;
        taken = instances_wanted {};
        return true;
    }
    taken = takeCalls();
    return true;
}

// The first waiting call, with the table calls that follow it if it is one itself.
std::vector<platform_worker::waiting_call> platform_worker::takeCalls()
{
    std::vector<waiting_call> calls;
    do {
        calls.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    } while (!m_waiting.empty() && calls.size() < m_options.maxBatch && isTableCall(calls.front().call)
        && isTableCall(m_waiting.front().call));
    return calls;
}

void platform_worker::carryOut(platform_client& client, std::vector<waiting_call>& calls)
{
    auto results = resultsOf(client, calls);
    assert(results.size() == calls.size());
    const bool outage = allUnavailable(results);
    for (std::size_t i = 0; i < calls.size(); ++i)
        m_onResult(calls[i].operation, std::move(results[i]));
    if (outage)
        answerWaiting();
}

void platform_worker::carryOut(platform_client& client, instances_wanted)
{
    std::vector<listed_instance> instances;
    try {
        instances = client.listInstances();
    } catch (const platform_error&) {
        return;
    }
    if (m_onInstances)
        m_onInstances(std::move(instances));
}

std::vector<platform_result> platform_worker::resultsOf(
    platform_client& client, const std::vector<waiting_call>& calls)
{
    if (calls.size() == 1)
        return { client.call(calls.front().call) };
    std::vector<platform_call> batch;
    batch.reserve(calls.size());
    for (const auto& waiting : calls)
        batch.push_back(waiting.call);
    try {
        return client.callBatch(batch);
    } catch (const platform_error&) {
        // A value that cannot be written as JSON spoils the batch before anything is sent: send one by one.
        std::vector<platform_result> results;
        results.reserve(batch.size());
        for (const auto& call : batch)
            results.push_back(client.call(call));
        return results;
    }
}

void platform_worker::answerWaiting()
{
    std::deque<waiting_call> unanswered;
    {
        const std::lock_guard lock(m_mutex);
        unanswered.swap(m_waiting);
    }
    for (const auto& waiting : unanswered)
        m_onResult(waiting.operation, {});
}

} // namespace appleramp
