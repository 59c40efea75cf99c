#include "decisions/keys/attempt_ledger.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

using start_decision = attempt_ledger::start_decision;

attempt_ledger::keyed_content order(const std::string& key, std::uint64_t hash = 1)
{
    return { idempotency_key(key), hash };
}

instant at(duration time) { return instant(time); }

} // namespace

Test(attempt_ledger, drops_a_start_that_comes_after_the_query)
{
    attempt_ledger ledger;
    cr_assert(ledger.query({ 1, 1 }, at(0s)) == attempt_state::NeverStarted);
    cr_assert(ledger.begin({ 1, 1 }, order("k"), at(1s)) == start_decision::Tombstoned);
}

Test(attempt_ledger, starts_a_key_once_and_names_the_attempt_that_did)
{
    attempt_ledger ledger;
    cr_assert(ledger.begin({ 1, 1 }, order("k"), at(0s)) == start_decision::Start);
    cr_assert(ledger.begin({ 1, 1 }, order("k"), at(0s)) == start_decision::Duplicate);
    cr_assert(ledger.begin({ 2, 1 }, order("k"), at(0s)) == start_decision::KeyUsed);
    cr_assert(ledger.begin({ 2, 2 }, order("k", 7), at(0s)) == start_decision::KeyReused);
    const attempt_id first { 1, 1 };
    cr_assert(ledger.findStarted(idempotency_key("k")) == first);
}

Test(attempt_ledger, frees_the_key_of_an_attempt_that_began_nothing)
{
    attempt_ledger ledger;
    ledger.begin({ 1, 1 }, order("k"), at(0s));
    ledger.finish({ 1, 1 }, attempt_state::NeverStarted);
    cr_assert(ledger.begin({ 1, 1 }, order("k"), at(0s)) == start_decision::Tombstoned);
    cr_assert(ledger.begin({ 1, 2 }, order("k"), at(0s)) == start_decision::Start);
}

Test(attempt_ledger, never_claims_that_a_forgotten_attempt_did_not_start)
{
    attempt_ledger ledger;
    ledger.begin({ 1, 5 }, order("k"), at(0s));
    ledger.finish({ 1, 5 }, attempt_state::Completed);
    ledger.forgetBefore(at(10s), at(10s));
    cr_assert_eq(ledger.size(), 0U);
    cr_assert(ledger.query({ 1, 5 }, at(11s)) == attempt_state::Forgotten);
    cr_assert(ledger.begin({ 1, 5 }, order("k"), at(11s)) == start_decision::Forgotten);
    cr_assert(ledger.query({ 1, 6 }, at(11s)) == attempt_state::NeverStarted);
}

Test(attempt_ledger, keeps_what_runs_and_what_is_within_its_retention)
{
    attempt_ledger ledger;
    ledger.begin({ 1, 1 }, std::nullopt, at(0s));
    ledger.begin({ 1, 2 }, order("k"), at(0s));
    ledger.finish({ 1, 1 }, attempt_state::Completed);
    ledger.forgetBefore(at(10s), at(10s));
    cr_assert(!ledger.find({ 1, 1 }));
    cr_assert(ledger.find({ 1, 2 }) == attempt_state::Running);
}
