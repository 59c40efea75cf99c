#include "decisions/workload/load_summary.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

// Arrivals at the engine relative to those at another one, since the counts were taken.
class arrival_count {
public:
    arrival_count(work_world& world, std::size_t engine, std::size_t other)
        : m_world(world)
        , m_engine(engine)
        , m_other(other)
    {
    }

    void begin()
    {
        m_engineBegin = m_world.engine(m_engine).arrivals;
        m_otherBegin = m_world.engine(m_other).arrivals;
    }

    double ratio() const
    {
        return static_cast<double>(m_world.engine(m_engine).arrivals - m_engineBegin) / static_cast<double>(m_world.engine(m_other).arrivals - m_otherBegin);
    }

private:
    work_world& m_world;
    std::size_t m_engine;
    std::size_t m_other;
    std::size_t m_engineBegin = 0;
    std::size_t m_otherBegin = 0;
};

void slowDownTwoFifths(work_world& world, bool isReported)
{
    for (std::size_t engine = 0; engine < 29; ++engine) {
        world.engine(engine * 2).slowdown = 12;
        world.engine(engine * 2).reportsSlowdown = isReported;
    }
}

} // namespace

// Pattern: one rank becomes slow by a factor of 1.6, and later by 12; all ranks of its group wait for it.
Test(uneven_endpoints, a_slow_rank_gets_less_and_then_nothing)
{
    for (const bool isGroup : { true, false }) {
        work_world world({ .isGroup = isGroup, .utilization = 0.6 });
        arrival_count slower(world, 5, 6);
        arrival_count slowest(world, 5, 6);
        double slowerRatio = 0;
        world.at(20s, [&] { world.engine(5).slowdown = 1.6; });
        world.at(21s, [&] { slower.begin(); });
        world.at(30s, [&] {
            slowerRatio = slower.ratio();
            world.engine(5).slowdown = 12;
        });
        world.at(31s, [&] { slowest.begin(); });
        world.runUntil(50s);
        const load_summary before = summarize(world, 12s, 19s);
        const load_summary seen = summarize(world, 31s, 45s);
        print("slow rank", world, seen);
        cr_expect_leq(slowerRatio, 0.6);
        cr_expect_leq(slowest.ratio(), 0.05);
        cr_expect_geq(seen.served, 0.99);
        cr_expect_geq(seen.onTime, before.onTime - 0.05);
    }
}

// Pattern: two fifths of the engines become slow by a factor of 12. Guards against requests that wait there.
Test(uneven_endpoints, two_fifths_slow_are_avoided)
{
    work_world world({ .isGroup = false, .utilization = 0.45 });
    world.at(20s, [&] { slowDownTwoFifths(world, true); });
    world.runUntil(50s);
    const load_summary seen = summarize(world, 21s, 40s);
    print("two fifths slow", world, seen);
    cr_expect_leq(world.longestNeedlessRefusal(), 1s);
    cr_expect_geq(seen.served, 0.99);
}

// As above, where the engines do not report it, so that each entry learns it from its own requests. Guards against placement by
// work trusting reports more than placement by counts does.
Test(uneven_endpoints, slow_endpoints_that_report_themselves_as_sound)
{
    double served[2] {};
    for (const bool byWork : { false, true }) {
        work_world world({ .isGroup = false, .placeByWork = byWork, .utilization = 0.45 });
        world.at(20s, [&] { slowDownTwoFifths(world, false); });
        world.runUntil(50s);
        const load_summary seen = summarize(world, 21s, 40s);
        print(byWork ? "unreported, by work" : "unreported, by count", world, seen);
        served[byWork ? 1 : 0] = seen.served;
        cr_expect(!byWork || world.longestNeedlessRefusal() <= 1s);
    }
    cr_expect_geq(served[1], served[0]);
}

// Pattern: some engines reset 0.7 of their requests while they report themselves as sound and idle.
Test(uneven_endpoints, grey_endpoints_get_little)
{
    work_world world({ .utilization = 0.6 });
    arrival_count grey(world, 30, 29);
    for (const std::size_t engine : { 3U, 30U, 31U, 60U })
        world.at(20s, [&world, engine] { world.engine(engine).failing = 0.7; });
    // By then each entry, which sends an engine a request in 6 s, has met some of them.
    world.at(30s, [&] { grey.begin(); });
    world.runUntil(70s);
    const load_summary seen = summarize(world, 20s, 60s);
    print("grey", world, seen);
    cr_log_info("ratio of a grey endpoint %.2f", grey.ratio());
    cr_expect_leq(grey.ratio(), 0.3);
    cr_expect_geq(seen.served, 0.99);
}

// Guards against harm by hints that are wrong by a factor of 10.
Test(uneven_endpoints, wrong_hints_do_no_harm)
{
    work_world right({ .utilization = 0.75 });
    right.runUntil(40s);
    work_world wrong({ .utilization = 0.75, .hintFactor = 10 });
    wrong.runUntil(40s);
    print("right hints", right, summarize(right, 12s, 32s));
    print("wrong hints", wrong, summarize(wrong, 12s, 32s));
    cr_expect_geq(summarize(wrong, 12s, 32s).onTime, summarize(right, 12s, 32s).onTime - 0.02);
    cr_expect_geq(summarize(wrong, 12s, 32s).served, 0.99);
}

// Guards against entries that have just started and know no lengths, correction or shares: all restart at once.
Test(uneven_endpoints, entries_that_restart_place_as_before)
{
    work_world world({ .utilization = 0.6 });
    world.at(20s, [&] {
        for (std::size_t entry = 0; entry < 71; ++entry)
            world.startEntry(entry);
    });
    world.runUntil(40s);
    const load_summary seen = summarize(world, 20s, 24s);
    print("restart", world, seen);
    cr_expect_geq(seen.onTime, summarize(world, 12s, 18s).onTime - 0.05);
    cr_expect_geq(seen.served, 0.99);
}
