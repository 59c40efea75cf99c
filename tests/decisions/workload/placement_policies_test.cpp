#include "decisions/workload/placement_draw.h"
#include "fakes/event_queue.h"

#include <criterion/criterion.h>
#include <criterion/logging.h>

#include <algorithm>
#include <array>
#include <deque>
#include <numeric>
#include <random>
#include <vector>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

enum class policy {
    TwoChoices,
    LeastExpected,
    JoinIdle,
    Drawn,
};

// 71 entries before 72 engines of 10 slots, each with the reports of 20 engines.
class policy_model {
public:
    policy_model(policy used, duration reportAge)
        : m_policy(used)
        , m_reportAge(reportAge)
    {
        for (auto& seen : m_seen) {
            seen.engines.resize(engineCount);
            std::iota(seen.engines.begin(), seen.engines.end(), std::size_t { 0 });
            std::shuffle(seen.engines.begin(), seen.engines.end(), m_random);
            seen.engines.resize(subsetSize);
            seen.load.resize(engineCount);
        }
        for (std::size_t engine = 0; engine < engineCount; ++engine)
            m_events.runAfter(duration(static_cast<duration::rep>(fraction() * 120'000)), [this, engine] { report(engine); });
        m_events.runAfter(1ms, [this] { arrive(); });
    }

    // Fraction of the requests that wait for a slot for longer than a tenth of a second.
    double waiting()
    {
        while (m_events.runNext(instant(120s))) { }
        return m_waited / m_arrivals;
    }

private:
    static constexpr std::size_t entryCount = 71;
    static constexpr std::size_t engineCount = 72;
    static constexpr std::size_t subsetSize = 20;
    static constexpr std::size_t slots = 10;
    static constexpr double slotSeconds = 2.2;
    static constexpr double utilization = 0.85;
    static constexpr double rate = utilization * engineCount * slots / slotSeconds;
    static constexpr duration reportInterval = 120ms;

    struct entry_view {
        std::vector<std::size_t> engines;
        std::vector<double> load;
    };
    struct engine_queue {
        std::size_t running = 0;
        std::deque<instant> waiting;
    };

    double fraction() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    void report(std::size_t engine)
    {
        m_events.runAfter(reportInterval, [this, engine] { report(engine); });
        const auto load = static_cast<double>(m_engines[engine].running + m_engines[engine].waiting.size());
        m_events.runAfter(m_reportAge, [this, engine, load] {
            for (entry_view& seen : m_seen)
                seen.load[engine] = load;
        });
    }

    std::size_t choose(const entry_view& seen)
    {
        const auto any = [&] { return seen.engines[static_cast<std::size_t>(fraction() * subsetSize)]; };
        const auto less = [&](std::size_t left, std::size_t right) { return seen.load[left] < seen.load[right]; };
        if (m_policy == policy::TwoChoices)
            return std::min(any(), any(), less);
        if (m_policy == policy::LeastExpected)
            return *std::min_element(seen.engines.begin(), seen.engines.end(), less);
        if (m_policy == policy::JoinIdle) {
            std::vector<std::size_t> idle;
            std::copy_if(seen.engines.begin(), seen.engines.end(), std::back_inserter(idle), [&](std::size_t engine) { return seen.load[engine] < slots; });
            return idle.empty() ? any() : idle[static_cast<std::size_t>(fraction() * static_cast<double>(idle.size()))];
        }
        std::vector<double> costs;
        for (const std::size_t engine : seen.engines)
            costs.push_back(seen.load[engine] + 2 * std::max(0.0, seen.load[engine] + 1 - slots));
        const double age = std::chrono::duration<double>(m_reportAge + reportInterval / 2).count();
        return seen.engines[drawPlacement({ costs, 1, rate * subsetSize / engineCount * age, fraction() })];
    }

    void arrive()
    {
        m_events.runAfter(duration(static_cast<duration::rep>(-std::log(1 - fraction()) / rate * 1e6) + 1), [this] { arrive(); });
        entry_view& seen = m_seen[static_cast<std::size_t>(fraction() * entryCount)];
        const std::size_t engine = choose(seen);
        ++seen.load[engine];
        ++m_arrivals;
        m_engines[engine].waiting.push_back(m_events.now());
        startNext(engine);
    }

    void startNext(std::size_t number)
    {
        engine_queue& engine = m_engines[number];
        if (engine.waiting.empty() || engine.running == slots)
            return;
        m_waited += m_events.now() - engine.waiting.front() > 100ms ? 1 : 0;
        engine.waiting.pop_front();
        ++engine.running;
        const double time = slotSeconds * (0.75 + fraction() / 2);
        m_events.runAfter(duration(static_cast<duration::rep>(time * 1e6)), [this, number] {
            --m_engines[number].running;
            startNext(number);
        });
    }

    policy m_policy;
    duration m_reportAge;
    std::mt19937_64 m_random { 1 };
    event_queue m_events;
    std::array<entry_view, entryCount> m_seen;
    std::array<engine_queue, engineCount> m_engines;
    double m_arrivals = 0;
    double m_waited = 0;
};

} // namespace

// Guards against a policy that is worse than simpler ones by reports of the ages that agents send.
Test(placement_policies, the_draw_is_not_worse_than_simpler_policies)
{
    for (const duration age : { 50ms, 100ms, 200ms, 400ms }) {
        std::array<double, 4> waiting {};
        for (const policy used : { policy::TwoChoices, policy::LeastExpected, policy::JoinIdle, policy::Drawn })
            waiting[static_cast<std::size_t>(used)] = policy_model(used, age).waiting();
        cr_log_info("reports %ld ms old: two choices %.3f, least expected %.3f, join idle %.3f, drawn %.3f", static_cast<long>(age.count() / 1000), waiting[0], waiting[1], waiting[2], waiting[3]);
        cr_expect_leq(waiting[3], *std::min_element(waiting.begin(), waiting.end()) + 0.01);
    }
}
