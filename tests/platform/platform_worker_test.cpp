#include "platform/platform_worker.h"

#include "stand_ins/platform_stand_in.h"

#include <criterion/criterion.h>

#include <condition_variable>
#include <map>
#include <mutex>

using namespace appleramp;
using namespace std::chrono_literals;
using stand_ins::platform_stand_in;

namespace {

// Collects the results and instance lists that a worker passes to its handlers.
class result_collector {
public:
    void add(operation_number operation, const platform_result& result)
    {
        const std::lock_guard lock(m_mutex);
        m_results[operation].push_back(result.status);
        ++m_count;
        m_added.notify_all();
    }

    void addInstances(std::vector<listed_instance> instances)
    {
        const std::lock_guard lock(m_mutex);
        m_instances.push_back(std::move(instances));
        m_added.notify_all();
    }

    void awaitCount(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_added.wait(lock, [&] { return m_count >= count; });
    }

    void awaitInstances()
    {
        std::unique_lock lock(m_mutex);
        m_added.wait(lock, [&] { return !m_instances.empty(); });
    }

    // True if every operation from 0 to count - 1 was answered exactly once, with the given status.
    bool allAnswered(operation_number count, platform_status status)
    {
        const std::lock_guard lock(m_mutex);
        for (operation_number operation = 0; operation < count; ++operation)
            if (m_results[operation] != std::vector { status })
                return false;
        return m_count == count;
    }

    std::size_t count()
    {
        const std::lock_guard lock(m_mutex);
        return m_count;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_added;
    std::map<operation_number, std::vector<platform_status>> m_results;
    std::vector<std::vector<listed_instance>> m_instances;
    std::size_t m_count = 0;
};

platform_worker_options optionsFor(const platform_stand_in& platform)
{
    platform_worker_options options;
    options.client = { platform.address(), 2s, 10s };
    options.threads = 1;
    return options;
}

platform_worker::result_handler collectInto(result_collector& collector)
{
    return [&collector](operation_number operation, const platform_result& result) { collector.add(operation, result); };
}

} // namespace

Test(platform_worker, waiting_table_calls_travel_together)
{
    platform_stand_in platform;
    platform.setFaults({ .delay = 50ms });
    result_collector collector;
    platform_worker worker(optionsFor(platform), collectInto(collector));
    constexpr operation_number calls = 100;
    for (operation_number operation = 0; operation < calls; ++operation)
        worker.post(operation, table_put { "k" + std::to_string(operation), "v", 0 });
    collector.awaitCount(calls);
    cr_assert(collector.allAnswered(calls, platform_status::Done));
    cr_assert_leq(platform.exchanges(), 3);
}

Test(platform_worker, object_calls_keep_their_place_between_table_calls)
{
    platform_stand_in platform;
    result_collector collector;
    platform_worker worker(optionsFor(platform), collectInto(collector));
    worker.post(0, object_put { "o", "v" });
    worker.post(1, table_put { "k", "v", 0 });
    worker.post(2, object_put { "p", "v" });
    collector.awaitCount(3);
    cr_assert(collector.allAnswered(3, platform_status::Done));
}

Test(platform_worker, value_that_is_no_text_spoils_no_other_call)
{
    platform_stand_in platform;
    platform.setFaults({ .delay = 20ms });
    result_collector collector;
    platform_worker worker(optionsFor(platform), collectInto(collector));
    for (operation_number operation = 0; operation < 4; ++operation)
        worker.post(operation, table_put { "k" + std::to_string(operation), operation == 2 ? "\xff" : "v", 0 });
    collector.awaitCount(4);
    cr_assert(platform.apply(table_get { "k3" }).status == platform_status::Done);
}

Test(platform_worker, outage_answers_every_call_unavailable)
{
    platform_stand_in platform;
    platform.setFaults({ .down = true });
    result_collector collector;
    platform_worker worker(optionsFor(platform), collectInto(collector));
    constexpr operation_number calls = 200;
    for (operation_number operation = 0; operation < calls; ++operation)
        worker.post(operation, table_put { "k", "v", 0 });
    collector.awaitCount(calls);
    cr_assert(collector.allAnswered(calls, platform_status::Unavailable));
    // Only probes were sent, far fewer than the calls.
    const auto counters = worker.counters();
    cr_assert_eq(counters.writes() + counters.unsent()[1], calls);
    cr_assert_lt(counters.exchanges(), 5);
}

Test(platform_worker, returns_to_the_platform_after_an_outage)
{
    platform_stand_in platform;
    platform.setFaults({ .down = true });
    result_collector collector;
    auto options = optionsFor(platform);
    options.backoff = { 1ms, 2ms, 3 };
    platform_worker worker(options, collectInto(collector));
    worker.post(0, table_get { "k" });
    collector.awaitCount(1);
    platform.setFaults({});
    operation_number operation = 0;
    while (worker.counters().sent()[0].notFound == 0) {
        worker.post(++operation, table_get { "k" });
        collector.awaitCount(operation + 1);
    }
    cr_assert_eq(collector.count(), operation + 1);
}

Test(platform_worker, call_that_waits_too_long_is_not_sent)
{
    platform_stand_in platform;
    platform.setFaults({ .delay = 100ms });
    result_collector collector;
    auto options = optionsFor(platform);
    options.maxTimeInQueue = 50ms;
    options.maxBatch = 1;
    platform_worker worker(options, collectInto(collector));
    worker.post(0, table_put { "a", "v", 0 });
    worker.post(1, table_put { "b", "v", 0 });
    collector.awaitCount(2);
    // The first call takes longer than the second may be queued. On a slow machine the first may expire as well.
    cr_assert_leq(platform.exchanges(), 1);
    cr_assert(platform.apply(table_get { "b" }).status == platform_status::NotFound);
    cr_assert_eq(worker.counters().unsent()[1] + platform.exchanges(), 2);
}

Test(platform_worker, counts_calls_by_kind_and_outcome)
{
    platform_stand_in platform;
    result_collector collector;
    platform_worker worker(optionsFor(platform), collectInto(collector));
    worker.post(0, table_put { "a", "v", 0 });
    worker.post(1, table_put { "a", "v", 0 });
    worker.post(2, table_get { "a" });
    worker.post(3, object_get { "none" });
    collector.awaitCount(4);
    const auto counters = worker.counters();
    cr_assert(call_counters::kindName(1) == "table_put");
    cr_assert(counters.sent()[1].done == 1 && counters.sent()[1].conflict == 1);
    cr_assert(counters.reads() == 2 && counters.writes() == 2);
    cr_assert(counters.sent()[4].notFound == 1);
}

Test(platform_worker, full_queue_is_answered_at_once)
{
    platform_stand_in platform;
    platform.setFaults({ .delay = 1h });
    result_collector collector;
    auto options = optionsFor(platform);
    options.maxQueuedCalls = 2;
    options.client.replyTimeout = 200ms;
    platform_worker worker(options, collectInto(collector));
    for (operation_number operation = 0; operation < 8; ++operation)
        worker.post(operation, table_get { "k" });
    // At least four calls found the queue full: two are queued, and the worker's thread has taken at most two.
    cr_assert_geq(collector.count(), 4);
    collector.awaitCount(8);
    cr_assert(collector.allAnswered(8, platform_status::Unavailable));
}

Test(platform_worker, stop_answers_what_waits)
{
    platform_stand_in platform;
    platform.setFaults({ .delay = 200ms });
    result_collector collector;
    auto options = optionsFor(platform);
    options.maxBatch = 1;
    platform_worker worker(options, collectInto(collector));
    for (operation_number operation = 0; operation < 20; ++operation)
        worker.post(operation, table_get { "k" });
    worker.stop();
    cr_assert_eq(collector.count(), 20);
    worker.post(20, table_get { "k" });
    cr_assert_eq(collector.count(), 21);
}

Test(platform_worker, reads_the_instance_list)
{
    platform_stand_in platform;
    result_collector collector;
    platform_worker worker(
        optionsFor(platform), collectInto(collector), [&](auto instances) { collector.addInstances(std::move(instances)); });
    worker.postListInstances();
    collector.awaitInstances();
}
