#include "storefeed/freshness_relay.h"

#include "storefeed/table_digest.h"

#include <criterion/criterion.h>

#include <array>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t table = 0;

store_row row(const std::string& key, std::uint64_t version, bool removed = false) { return { key, "v", version, removed }; }

} // namespace

// Guards against every entry of a zone polling a quiet store: calls cost money and one poller is enough.
Test(freshness_relay, the_first_that_is_heard_reads_and_the_others_ask_it)
{
    freshness_relay relay("entry-2");
    cr_assert(!relay.readerToQuery(instant(1s)));
    relay.onPeerHeard(instant(1s), "entry-3");
    cr_assert(!relay.readerToQuery(instant(1s)));
    relay.onPeerHeard(instant(1s), "entry-1");
    cr_assert(relay.readerToQuery(instant(1s)) == "entry-1");
    cr_assert(!relay.readerToQuery(instant(1100ms)));
    cr_assert(relay.readerToQuery(instant(1500ms)) == "entry-1");
    // entry-1 was silent for longer than peerTimeout.
    cr_assert(!relay.readerToQuery(instant(2700ms)));
}

// An entry that is suspended with an answer in its socket reads it seconds later: the age counts from the question.
Test(freshness_relay, an_answer_is_as_old_as_its_question_and_no_younger)
{
    freshness_relay relay("b");
    relay.onAnswer(instant(10s), { instant(10s), { { 7, 300ms } } });
    cr_assert(relay.currentAsOf(instant(10s), table, 7) == instant(9700ms));
    cr_assert(!relay.currentAsOf(instant(11700ms), table, 7));
    relay.onAnswer(instant(14s), { instant(10500ms), { { 7, 0ms } } });
    cr_assert(!relay.currentAsOf(instant(14s), table, 7));
}

Test(freshness_relay, other_contents_are_not_confirmed)
{
    freshness_relay relay("b");
    relay.onAnswer(instant(10s), { instant(10s), { { 7, 0ms } } });
    cr_assert(!relay.currentAsOf(instant(10s), table, 8));
    cr_assert(!relay.currentAsOf(instant(10s), table + 1, 7));
    // An older answer that arrives late does not replace a newer confirmation.
    relay.onAnswer(instant(10100ms), { instant(9s), { { 8, 0ms } } });
    cr_assert(relay.currentAsOf(instant(10100ms), table, 7));
}

Test(table_digest, equal_contents_have_equal_digests_however_they_were_learnt)
{
    table_digest whole;
    whole.apply(std::array { row("a", 3), row("b", 5) });
    table_digest changes;
    changes.apply(std::array { row("a", 1), row("c", 2) });
    changes.apply(std::array { row("b", 5), row("a", 3), row("c", 6, true) });
    cr_assert_eq(whole.value(), changes.value());
    changes.apply(std::array { row("b", 7, true) });
    cr_assert_neq(whole.value(), changes.value());
    // A removed row gives the same digest as a full read that does not contain it.
    whole.clear();
    whole.apply(std::array { row("a", 3) });
    cr_assert_eq(whole.value(), changes.value());
}
