#include "decisions/pace/endpoint_pace.h"
#include "decisions/pace/entry_shares.h"
#include "decisions/pace/share_account.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

// Lets time pass in ticks, with demand.
void pass(endpoint_pace& pace, duration& now, duration time, double ceiling = 64)
{
    for (const duration end = now + time; now < end; now += 25ms)
        pace.update(instant(now), ceiling, true, 100ms);
}

} // namespace

// Guards against an endpoint that is left idle although it answers as fast as its peers.
Test(endpoint_pace, doubles_each_quarter_second_while_answers_are_good)
{
    endpoint_pace pace;
    duration now = 1s;
    pace.begin(instant(now), 8);
    for (const double expected : { 8.0, 16.0, 32.0 }) {
        cr_assert_eq(pace.rate(), expected);
        pace.recordAnswer(instant(now), 1.4);
        pass(pace, now, 275ms);
    }
    cr_assert(!pace.isRamping());
}

// Guards against an endpoint that is flooded while it is slow or fails.
Test(endpoint_pace, stays_while_answers_are_slow_or_overdue_and_halves_at_once_on_failures)
{
    endpoint_pace pace;
    duration now = 1s;
    pace.begin(instant(now), 8);
    for (int answer = 0; answer < 10; ++answer) {
        pace.recordAnswer(instant(now), 1.6);
        pass(pace, now, 200ms);
    }
    cr_assert_eq(pace.rate(), 8);
    pace.recordAnswer(instant(now), 1);
    pace.recordSend(instant(now));
    pass(pace, now, 175ms);
    pass(pace, now, 2s);
    cr_assert_eq(pace.rate(), 8, "an overdue answer");
    pace.recordFailure(instant(now));
    cr_assert_eq(pace.rate(), 4);
    for (int failure = 0; failure < 5; ++failure)
        pace.recordFailure(instant(now));
    cr_assert_eq(pace.rate(), endpoint_pace::leastRate);
}

// Guards against a burst after silence that meets the usual rate, as if the endpoint had shown that it can take it.
Test(endpoint_pace, stays_without_demand)
{
    endpoint_pace pace;
    pace.begin(instant(1s), 8);
    for (duration now = 1s; now < 10s; now += 25ms)
        pace.update(instant(now), 64, false, {});
    cr_assert_eq(pace.rate(), 8);
    pace.update(instant(15s), 64, true, {});
    cr_assert_leq(pace.rate(), 16, "a standstill is no growth");
}

// Guards against shares that add up to more or less than the whole.
Test(entry_shares, add_up_to_the_whole)
{
    for (const std::size_t entries : { 1, 7, 22, 35, 71 }) {
        std::vector<std::string> names;
        for (std::size_t entry = 0; entry < entries; ++entry)
            names.push_back("front-" + std::to_string(entry));
        for (const std::uint32_t requests : { 0, 1, 6, 22, 47, 200 }) {
            for (const double start : { 0.0, 1.0 / 3, 0.5, 0.999 }) {
                std::uint32_t sum = 0;
                for (const std::string& name : names) {
                    entry_shares shares;
                    shares.setEntries(name, names);
                    sum += shares.share(requests, entries, start);
                    const auto owner = shares.otherOwner(requests, entries, start, 0.7);
                    cr_assert(!owner || *owner != name);
                }
                cr_assert_eq(sum, requests);
            }
        }
    }
}

// Guards against a share that is used twice: by its owner and by the entry that it was lent to.
Test(share_account, what_is_lent_counts_from_its_latest_use)
{
    share_account account;
    cr_assert(account.lend(instant(1s), 1));
    cr_assert(!account.lend(instant(1s), 1));
    cr_assert(!account.allows(instant(2150ms), 1));
    cr_assert_eq(account.opensAt(instant(1s), 1)->time_since_epoch(), 1s + share_account::loanValidity + share_account::window);
    share_account borrower;
    borrower.borrow(instant(1s));
    cr_assert(borrower.allows(instant(1100ms), 0));
    cr_assert(!borrower.allows(instant(1150ms), 0));
    borrower.recordSend(instant(1100ms));
    cr_assert(!borrower.allows(instant(1100ms), 0));
}
