#include "decisions/crashes/crash_ledger.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

// From the send of a request to the death of its endpoint.
constexpr duration runTime = 100ms;
const suspect_key request { suspect_kind::Request, 7 };
const suspect_key firstPart { suspect_kind::PromptPart, 1 };
const suspect_key laterPart { suspect_kind::PromptPart, 2 };

// Endpoints die one by one under requests with both parts.
void killUnderBothParts(crash_ledger& ledger, std::uint64_t firstEndpoint, std::uint64_t count)
{
    for (std::uint64_t endpoint = firstEndpoint; endpoint < firstEndpoint + count; ++endpoint) {
        const instant when(10s + endpoint * 4s);
        ledger.accuse(when, laterPart, { endpoint, when - runTime, when, 1 });
        ledger.accuse(when, firstPart, { endpoint, when - runTime, when, 0 });
    }
}

} // namespace

Test(crash_ledger, two_endpoints_convict_a_request)
{
    crash_ledger ledger;
    ledger.accuse(instant(10s), request, { 1, instant(10s) - runTime, instant(10s) });
    cr_assert(ledger.verdict(instant(10s), request) == suspect_verdict::Suspected);
    ledger.accuse(instant(15s), request, { 2, instant(15s) - runTime, instant(15s) });
    cr_assert(ledger.verdict(instant(15s), request) == suspect_verdict::Convicted);
}

Test(crash_ledger, three_endpoints_convict_a_part)
{
    crash_ledger ledger;
    for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
        cr_assert_neq(ledger.verdict(instant(40s), laterPart), suspect_verdict::Convicted);
        ledger.accuse(instant(endpoint * 4s), laterPart, { endpoint, instant(endpoint * 4s) - runTime, instant(endpoint * 4s) });
    }
    cr_assert(ledger.verdict(instant(40s), laterPart) == suspect_verdict::Convicted);
}

// Guards against convicting the part in front of the crashing one, which many sound requests share.
Test(crash_ledger, deaths_of_a_convicted_part_speak_against_no_other)
{
    crash_ledger ledger;
    killUnderBothParts(ledger, 1, 4);
    cr_assert(ledger.verdict(instant(40s), laterPart) == suspect_verdict::Convicted);
    cr_assert(ledger.verdict(instant(40s), firstPart) == suspect_verdict::Unsuspected);
}

// Guards against entries that learn of the deaths from each other and convict the other part.
Test(crash_ledger, merged_records_convict_the_later_part_only)
{
    crash_ledger first;
    killUnderBothParts(first, 1, 2);
    crash_ledger second;
    killUnderBothParts(second, 3, 1);
    std::vector<crash_record> records = first.records(instant(30s));
    std::reverse(records.begin(), records.end());
    second.merge(instant(30s), records, {});
    first.merge(instant(30s), second.records(instant(30s)), {});
    for (const crash_ledger& ledger : { first, second }) {
        cr_assert(ledger.verdict(instant(30s), laterPart) == suspect_verdict::Convicted);
        cr_assert(ledger.verdict(instant(30s), firstPart) == suspect_verdict::Unsuspected);
    }
}

Test(crash_ledger, a_part_that_was_sound_just_before_needs_more_deaths)
{
    crash_ledger ledger;
    ledger.recordSound(instant(9s), firstPart);
    for (std::uint64_t endpoint = 1; endpoint <= 5; ++endpoint) {
        cr_assert_neq(ledger.verdict(instant(40s), firstPart), suspect_verdict::Convicted);
        ledger.accuse(instant(9s + endpoint * 4s), firstPart, { endpoint, instant(9s + endpoint * 4s) - runTime, instant(9s + endpoint * 4s) });
    }
    cr_assert(ledger.verdict(instant(40s), firstPart) == suspect_verdict::Convicted);
}

// Guards against one death that several entries see, or see twice, and that counts more than once.
Test(crash_ledger, a_death_counts_once)
{
    crash_ledger ledger;
    crash_ledger other;
    ledger.accuse(instant(10s), request, { 1, instant(10s) - runTime, instant(10s) });
    ledger.accuse(instant(11s), request, { 1, instant(11s) - runTime, instant(11s) });
    other.accuse(instant(10s), request, { 1, instant(10s) - runTime, instant(10s) });
    for (int round = 0; round < 3; ++round)
        ledger.merge(instant(12s), other.records(instant(12s)), {});
    cr_assert(ledger.verdict(instant(12s), request) == suspect_verdict::Suspected);
}

// Guards against a wave of requests that takes an endpoint each: a request that was sent after a death adds to the evidence.
Test(crash_ledger, deaths_one_after_another_count_each)
{
    crash_ledger ledger;
    for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
        const instant diedAt(10s + endpoint * 20ms);
        ledger.accuse(diedAt, laterPart, { endpoint, diedAt - 10ms, diedAt });
    }
    cr_assert(ledger.verdict(instant(11s), laterPart) == suspect_verdict::Convicted);
}

// Guards against convicting what many endpoints ran when they lost power together.
Test(crash_ledger, deaths_together_count_for_two)
{
    crash_ledger ledger;
    ledger.recordSound(instant(9s), request);
    for (std::uint64_t endpoint = 1; endpoint <= 5; ++endpoint)
        ledger.accuse(instant(10s), request, { endpoint, instant(10s + endpoint * 10ms) - runTime, instant(10s + endpoint * 10ms) });
    cr_assert(ledger.verdict(instant(10s), request) == suspect_verdict::Suspected);
    ledger.accuse(instant(14s), request, { 6, instant(14s) - runTime, instant(14s) });
    cr_assert(ledger.verdict(instant(14s), request) == suspect_verdict::Convicted);
}

Test(crash_ledger, an_answer_clears_of_the_deaths_before)
{
    crash_ledger ledger;
    ledger.accuse(instant(10s), request, { 1, instant(10s) - runTime, instant(10s) });
    ledger.recordSound(instant(11s), request);
    ledger.accuse(instant(12s), request, { 2, instant(12s) - runTime, instant(12s) });
    cr_assert_neq(ledger.verdict(instant(12s), request), suspect_verdict::Convicted);
}

// Guards against a late report of deaths that an answer has refuted meanwhile, and against entries that disagree for good.
Test(crash_ledger, records_merge_to_the_same_verdict_in_any_order)
{
    crash_ledger accuser;
    accuser.accuse(instant(10s), request, { 1, instant(10s) - runTime, instant(10s) });
    accuser.accuse(instant(12s), request, { 2, instant(12s) - runTime, instant(12s) });
    crash_ledger witness;
    witness.recordSound(instant(13s), request);
    witness.merge(instant(14s), accuser.records(instant(14s)), {});
    cr_assert_neq(witness.verdict(instant(14s), request), suspect_verdict::Convicted);
    accuser.merge(instant(14s), witness.records(instant(14s)), {});
    cr_assert_neq(accuser.verdict(instant(14s), request), suspect_verdict::Convicted);
    witness.merge(instant(15s), accuser.records(instant(15s)), {});
    cr_assert_neq(witness.verdict(instant(15s), request), suspect_verdict::Convicted);
}

// Guards against a conviction that ends when its row is read again, as after the store's history was cut: what the row says of the
// time before the deaths must not count as news of the time after them.
Test(crash_ledger, a_row_that_is_read_late_refutes_nothing)
{
    crash_ledger ledger;
    ledger.recordSound(instant(9s), request);
    for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint) {
        const instant when(9s + endpoint * 2s);
        ledger.accuse(when, request, { endpoint, when - runTime, when });
    }
    cr_assert(ledger.verdict(instant(16s), request) == suspect_verdict::Convicted);
    const std::vector<crash_record> rows = ledger.records(instant(16s));
    ledger.merge(instant(50s), rows, crash_ledger::unknownDelay);
    cr_assert(ledger.verdict(instant(50s), request) == suspect_verdict::Convicted);
    // An entry that knows one of the deaths only, and one that knows none.
    crash_ledger other;
    other.accuse(instant(13s), request, { 2, instant(13s) - runTime, instant(13s) });
    other.merge(instant(50s), rows, crash_ledger::unknownDelay);
    cr_assert(other.verdict(instant(50s), request) == suspect_verdict::Convicted);
    crash_ledger starting;
    starting.merge(instant(50s), rows, crash_ledger::unknownDelay);
    cr_assert(starting.verdict(instant(50s), request) == suspect_verdict::Convicted);
}

// Guards against an entry that stood still, and reads news that waited for it: an answer that came before the deaths looks later.
Test(crash_ledger, news_that_waited_refute_no_later_death)
{
    crash_ledger witness;
    witness.accuse(instant(8s), request, { 9, instant(8s) - runTime, instant(8s) });
    witness.recordSound(instant(9s), request);
    const std::vector<crash_record> news = witness.records(instant(9s));
    crash_ledger ledger;
    ledger.accuse(instant(10s), request, { 1, instant(10s) - runTime, instant(10s) });
    ledger.accuse(instant(11s), request, { 2, instant(11s) - runTime, instant(11s) });
    ledger.merge(instant(15s), news, 6s);
    cr_assert(ledger.verdict(instant(15s), request) == suspect_verdict::Convicted);
    // Without a delay the same news would be later than the deaths.
    ledger.merge(instant(15s), news, {});
    cr_assert_neq(ledger.verdict(instant(15s), request), suspect_verdict::Convicted);
}

Test(crash_ledger, a_conviction_lasts_while_requests_with_it_come)
{
    crash_ledger ledger;
    for (std::uint64_t endpoint = 1; endpoint <= 3; ++endpoint)
        ledger.accuse(instant(10s), request, { endpoint, instant(endpoint * 4s) - runTime, instant(endpoint * 4s) });
    instant now(20s);
    for (int minutes = 0; minutes < 30; ++minutes, now += 1min) {
        cr_assert(ledger.verdict(now, request) == suspect_verdict::Convicted);
        ledger.recordRefusal(now, request);
        ledger.removeExpired(now);
    }
    now += crash_ledger::convictionRetention;
    cr_assert_eq(ledger.removeExpired(now).size(), 1);
    cr_assert(ledger.verdict(now, request) == suspect_verdict::Unsuspected);
}

// Guards against a wrong conviction that never ends, and against trials of what is proved.
Test(crash_ledger, a_conviction_by_few_deaths_is_tried_again)
{
    crash_ledger ledger;
    ledger.accuse(instant(10s), request, { 1, instant(10s) - runTime, instant(10s) });
    ledger.accuse(instant(14s), request, { 2, instant(14s) - runTime, instant(14s) });
    cr_assert_not(ledger.startTrial(instant(20s), request));
    cr_assert(ledger.startTrial(instant(80s), request));
    cr_assert_not(ledger.startTrial(instant(81s), request));
    ledger.accuse(instant(82s), request, { 3, instant(82s) - runTime, instant(82s) });
    cr_assert_not(ledger.startTrial(instant(200s), request));
}

// Guards against a caller that makes entries forget a proved suspect by many new ones.
Test(crash_ledger, convictions_outlast_a_flood_of_suspects)
{
    crash_ledger ledger;
    ledger.accuse(instant(10s), request, { 1, instant(10s) - runTime, instant(10s) });
    ledger.accuse(instant(14s), request, { 2, instant(14s) - runTime, instant(14s) });
    for (std::uint64_t id = 100; id < 100 + 2 * crash_ledger::maxSuspects; ++id)
        ledger.accuse(instant(20s), { suspect_kind::Request, id }, { 3, instant(20s) - runTime, instant(20s) });
    cr_assert_leq(ledger.size(), crash_ledger::maxSuspects);
    cr_assert(ledger.verdict(instant(20s), request) == suspect_verdict::Convicted);
}
