#include "decisions/workload/outlier_detector.h"

#include <criterion/criterion.h>

#include <string>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const availability_zone_id zoneA("a");
const availability_zone_id zoneB("b");
const endpoint_id bad("bad");
constexpr std::size_t endpoints = 12;

// A detector whose peers have answered well.
outlier_detector withPeers()
{
    outlier_detector detector;
    for (int answer = 0; answer < 40; ++answer)
        detector.record(instant(1s), endpoint_id("p" + std::to_string(answer % 11)), zoneA, attempt_outcome::Sound, endpoints);
    return detector;
}

std::optional<standing_change> fail(outlier_detector& detector, duration now, attempt_outcome outcome = attempt_outcome::Failed)
{
    return detector.record(instant(now), bad, zoneA, outcome, endpoints);
}

} // namespace

// Guards against an endpoint that answers health checks and fails requests.
Test(outlier_detector, an_endpoint_that_fails_alone_is_taken_out)
{
    outlier_detector detector = withPeers();
    cr_assert_not(fail(detector, 2s).has_value());
    const auto change = fail(detector, 3s);
    cr_assert(change && change->standing == endpoint_standing::Out && change->outFor == outlier_detector::firstOutTime);
    cr_assert(detector.standing(instant(3900ms), bad) == endpoint_standing::Out);
    cr_assert(detector.standing(instant(4100ms), bad) == endpoint_standing::Probation);
    cr_assert(detector.standing(instant(3s), endpoint_id("p1")) == endpoint_standing::In);
}

// Guards against taking out endpoints for what all do alike, as when a group stands still.
Test(outlier_detector, failures_of_all_take_nobody_out)
{
    outlier_detector detector;
    for (int answer = 0; answer < 100; ++answer) {
        const endpoint_id endpoint("p" + std::to_string(answer % 10));
        cr_assert_not(detector.record(instant(100ms * answer), endpoint, zoneA, attempt_outcome::Late, endpoints).has_value());
    }
}

// Guards against a fleet that is taken out as a whole: at most a third is.
Test(outlier_detector, at_most_a_third_is_out)
{
    outlier_detector detector = withPeers();
    for (int round = 0; round < 6; ++round) {
        for (int endpoint = 0; endpoint < 8; ++endpoint)
            detector.record(instant(2s), endpoint_id("f" + std::to_string(endpoint)), zoneA, attempt_outcome::Failed, endpoints);
        for (int answer = 0; answer < 40; ++answer)
            detector.record(instant(2s), endpoint_id("p" + std::to_string(answer % 11)), zoneA, attempt_outcome::Sound, endpoints);
    }
    cr_assert_leq(detector.outCount(), endpoints / 3);
    cr_assert_geq(detector.outCount(), 1);
}

// Guards against flapping with an endpoint that flaps: the time doubles up to 8 s.
Test(outlier_detector, the_time_out_doubles_and_is_bounded)
{
    outlier_detector detector = withPeers();
    fail(detector, 2s);
    duration now = 2s;
    duration expected = outlier_detector::firstOutTime;
    auto change = fail(detector, now);
    for (int round = 0; round < 8; ++round) {
        cr_assert(change.has_value());
        cr_assert_eq(change->outFor, expected);
        now += change->outFor;
        // An answer to an earlier request decides nothing.
        cr_assert_not(fail(detector, now).has_value());
        detector.recordSend(instant(now), bad);
        change = fail(detector, now);
        expected = std::min(expected * 2, outlier_detector::maxOutTime);
    }
    cr_assert_eq(expected, outlier_detector::maxOutTime);
}

// Guards against an endpoint that never returns, and against many requests before it has proved itself.
Test(outlier_detector, sound_answers_on_probation_bring_it_back)
{
    outlier_detector detector = withPeers();
    fail(detector, 2s);
    fail(detector, 2s);
    for (int trial = 0; trial < 3; ++trial) {
        const duration now = 4s + trial * 1s;
        cr_assert(detector.standing(instant(now), bad) == endpoint_standing::Probation);
        cr_assert(detector.mayTry(instant(now), bad));
        detector.recordSend(instant(now), bad);
        cr_assert_not(detector.mayTry(instant(now + 100ms), bad));
        const auto change = fail(detector, now + 200ms, attempt_outcome::Sound);
        cr_assert_eq(change.has_value(), trial == 2);
    }
    cr_assert(detector.standing(instant(7s), bad) == endpoint_standing::In);
    cr_assert_eq(detector.outCount(), 0);
}

// Guards against a retry in a zone that is at fault as a whole.
Test(outlier_detector, the_risk_of_a_zone_counts_for_endpoints_without_attempts)
{
    outlier_detector detector = withPeers();
    for (int answer = 0; answer < 12; ++answer)
        detector.record(instant(2s), endpoint_id("z" + std::to_string(answer)), zoneB, attempt_outcome::Failed, endpoints);
    cr_assert_gt(detector.excessRisk(instant(2s), endpoint_id("new"), zoneB), 0.3);
    cr_assert_leq(detector.excessRisk(instant(2s), endpoint_id("new2"), zoneA), 0.01);
}
