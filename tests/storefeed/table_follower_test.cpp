#include "storefeed/table_follower.h"

#include "fakes/fake_row_store.h"

#include <boost/asio/executor_work_guard.hpp>
#include <criterion/criterion.h>

#include <optional>

using namespace appleramp;

namespace {

store_rows rowsOf(std::vector<std::string> keys, std::uint64_t version, bool hasMore = false)
{
    store_rows rows;
    for (std::string& key : keys)
        rows.rows.push_back({ std::move(key), "v", version, false });
    rows.version = version;
    rows.hasMore = hasMore;
    return rows;
}

// A follower whose clock the test sets; delays between calls are a few milliseconds of real time.
class fixture {
public:
    explicit fixture(duration confirmationWait = {})
    {
        follower_settings settings { .longPollTimeout = duration(1000),
            .readInterval = duration(1000),
            .settledReadInterval = std::chrono::milliseconds(200),
            .initialBackoff = duration(1000),
            .maxBackoff = duration(4000),
            .confirmationCheckInterval = duration(500),
            .confirmationWait = confirmationWait };
        follower = std::make_shared<table_follower>(
            m_loop, store, "op", settings, [this] { return now; },
            follower_handlers { .onSnapshot = [this](auto rows, instant sentAt) { whole = rows.size(); confirmedAt = sentAt; },
                .onChanges = [this](auto rows, instant sentAt) { changed += rows.size(); confirmedAt = sentAt; },
                .onReachability = [this](bool reachable) { accessNews.push_back(reachable); },
                .onRestored = [this] { ++restored; },
                .isDigestConfirmed = [this](std::uint64_t digest) { return confirmedDigest == digest; } },
            1);
        follower->start();
    }
    ~fixture() { follower->stop(); }

    // Runs up to five handlers of the loop, waiting at most 5 ms for each.
    void runSome()
    {
        for (int event = 0; event < 5; ++event)
            m_loop.run_one_for(std::chrono::milliseconds(5));
    }

    // Runs the loop until the follower calls the store again.
    void untilCall()
    {
        while (!store.hasCall())
            cr_assert_gt(m_loop.run_one_for(std::chrono::seconds(5)), 0);
    }

    fake_row_store store;
    instant now { std::chrono::seconds(1) };
    std::optional<std::uint64_t> confirmedDigest;
    std::optional<std::size_t> whole;
    std::size_t changed = 0;
    int restored = 0;
    instant confirmedAt;
    std::vector<bool> accessNews;
    std::shared_ptr<table_follower> follower;

private:
    boost::asio::io_context m_loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work { m_loop.get_executor() };
};

} // namespace

Test(table_follower, a_table_is_read_page_by_page_and_then_followed_from_its_first_version)
{
    fixture f;
    f.store.answer(rowsOf({ "a", "b" }, 7, true));
    cr_assert_eq(f.store.next().what, std::string("read op from b") + '\0');
    f.store.answer(rowsOf({ "c" }, 9));
    cr_assert_eq(f.whole.value(), 3);
    cr_assert_eq(f.store.next().what, "changes op");
    cr_assert_eq(f.store.next().afterVersion, 7);
}

// Rows are current as of the sending of the read: a slow answer must not make old contents look fresh.
Test(table_follower, news_are_as_old_as_the_call_that_brought_them)
{
    fixture f;
    f.store.answer(rowsOf({ "a" }, 7));
    f.now += std::chrono::seconds(1);
    const instant sent = f.now;
    f.store.answer(rowsOf({}, 7));
    f.untilCall();
    cr_assert(f.confirmedAt < sent);
    f.now += std::chrono::seconds(4);
    f.store.answer(rowsOf({ "a" }, 8));
    cr_assert(f.confirmedAt == sent);
    cr_assert_eq(f.changed, 1);
}

// A long poll that is answered at its end is dated by the store's clock, and an answer that was delayed on its way still
// counts as old.
Test(table_follower, the_stores_clock_shows_when_an_answer_was_composed)
{
    fixture f;
    auto first = rowsOf({ "a" }, 7);
    first.storeTime = std::chrono::seconds(500);
    f.now += std::chrono::milliseconds(10);
    f.store.answer(first);
    const instant firstSent { std::chrono::seconds(1) };
    f.now = firstSent + std::chrono::milliseconds(2020);
    auto quiet = rowsOf({}, 7);
    quiet.storeTime = std::chrono::milliseconds(502'010);
    f.store.answer(quiet);
    cr_assert(f.confirmedAt == firstSent + std::chrono::milliseconds(2010));
    f.untilCall();
    f.now = firstSent + std::chrono::seconds(9);
    quiet.storeTime = std::chrono::milliseconds(504'020);
    f.store.answer(quiet);
    cr_assert(f.confirmedAt == firstSent + std::chrono::milliseconds(4020));
}

Test(table_follower, a_clock_of_the_store_that_jumps_makes_nothing_fresh)
{
    fixture f;
    auto first = rowsOf({ "a" }, 7);
    first.storeTime = std::chrono::seconds(500);
    f.store.answer(first);
    f.now += std::chrono::seconds(1);
    const instant sent = f.now;
    f.store.answer(rowsOf({}, 7));
    f.untilCall();
    f.now += std::chrono::seconds(2);
    auto jumped = rowsOf({}, 7);
    jumped.storeTime = std::chrono::seconds(90'000);
    f.store.answer(jumped);
    cr_assert(f.confirmedAt == sent);
}

Test(table_follower, lost_history_is_read_whole_again)
{
    fixture f;
    f.store.answer(rowsOf({ "a", "b" }, 7));
    f.store.answer(store_failure::HistoryTruncated);
    f.untilCall();
    cr_assert_eq(f.store.next().what, "read op");
    f.store.answer(rowsOf({ "a" }, 30));
    cr_assert_eq(f.whole.value(), 1);
    cr_assert_eq(f.store.next().afterVersion, 30);
}

Test(table_follower, an_outage_is_told_once_and_its_end_once)
{
    fixture f;
    f.store.answer(rowsOf({ "a" }, 7));
    for (int round = 0; round < 3; ++round) {
        f.store.answer(store_failure::NoResponse);
        f.untilCall();
        cr_assert_eq(f.store.next().what, "changes op");
        cr_assert_eq(f.store.next().afterVersion, 7);
    }
    f.store.answer(rowsOf({}, 7));
    cr_assert(f.accessNews == (std::vector<bool> { false, true }));
}

Test(table_follower, a_first_read_that_fails_is_tried_again)
{
    fixture f;
    f.store.answer(store_failure::Refused);
    f.untilCall();
    cr_assert_eq(f.store.next().what, "read op");
}

// Guards against every entry polling a quiet store continuously.
Test(table_follower, no_call_is_made_while_another_reader_confirms_what_is_known)
{
    fixture fixture;
    fixture.store.answer(rowsOf({ "a" }, 5));
    fixture.confirmedDigest = fixture.follower->digest();
    fixture.store.answer(rowsOf({}, 5));
    fixture.runSome();
    cr_assert(!fixture.store.hasCall());
    // The reader now confirms other contents.
    fixture.confirmedDigest = fixture.follower->digest() + 1;
    fixture.untilCall();
    cr_assert_str_eq(fixture.store.next().what.c_str(), "changes op");
}

// Guards against every process reading each change of the members table separately during a rolling restart, which
// changes it every second (trouble-2).
Test(table_follower, a_settled_follower_reads_changes_less_often)
{
    fixture fixture;
    fixture.store.answer(rowsOf({ "a" }, 5));
    fixture.now += std::chrono::seconds(20);
    fixture.store.answer(rowsOf({ "b" }, 6));
    fixture.runSome();
    cr_assert(!fixture.store.hasCall());
    fixture.untilCall();
}

// Pattern: the store comes back from a copy some seconds old and gives versions out again. Changes that it reports after the
// known version leave out what differs before it, so the whole table must be read.
Test(table_follower, a_store_that_went_back_is_read_again)
{
    fixture f;
    store_rows first = rowsOf({ "a", "b" }, 20);
    first.generation = 3;
    f.store.answer(std::move(first));
    cr_assert_eq(f.restored, 0);
    // The version that the follower asks from was given out again for another row.
    store_rows later = rowsOf({ "c" }, 22);
    later.generation = 4;
    f.store.answer(std::move(later));
    cr_assert_eq(f.changed, 0);
    cr_assert_eq(f.restored, 1);
    f.untilCall();
    cr_assert_eq(f.store.next().what, "read op");
    store_rows whole = rowsOf({ "a", "c" }, 22);
    whole.generation = 4;
    f.store.answer(std::move(whole));
    cr_assert_eq(*f.whole, 2);
    cr_assert_eq(f.restored, 1);
    cr_assert_eq(f.store.next().afterVersion, 22);
}

// The whole read after a return from an older copy fails once. Changes of the new generation must not be applied to rows of the old
// one: what differs before the known version would be confirmed as current, a withdrawn key among it.
Test(table_follower, rows_of_an_earlier_generation_take_no_changes)
{
    fixture f;
    store_rows first = rowsOf({ "a", "b" }, 20);
    first.generation = 3;
    f.store.answer(std::move(first));
    const instant confirmed = f.confirmedAt;
    f.now += std::chrono::seconds(1);
    store_rows later = rowsOf({}, 22);
    later.generation = 4;
    f.store.answer(std::move(later));
    f.untilCall();
    f.store.answer(store_failure::NoResponse);
    f.untilCall();
    cr_assert_eq(f.store.next().what, "read op");
    bool probed = false;
    f.follower->probe([&probed](instant, const store_result&) { probed = true; });
    f.store.answer(store_failure::NoResponse);
    store_rows changes = rowsOf({}, 22);
    changes.generation = 4;
    f.store.answer(std::move(changes));
    cr_assert(probed);
    cr_assert(f.confirmedAt == confirmed);
    cr_assert_eq(f.follower->rowsGeneration(), 3);
}

// A connection that broke without a sign holds a read for its whole timeout.
Test(table_follower, an_overdue_read_gives_way)
{
    fixture f;
    f.store.answer(rowsOf({ "a" }, 3));
    cr_assert(f.store.hasCall());
    f.now += std::chrono::seconds(1);
    f.follower->readNow();
    // The answer to the read that was given up is dropped.
    f.store.answer(rowsOf({ "old" }, 4));
    cr_assert_eq(f.changed, 0);
    f.untilCall();
    cr_assert_eq(f.store.next().afterVersion, 3);
    f.store.answer(rowsOf({ "b" }, 5));
    cr_assert_eq(f.changed, 1);
}

// A probe and the read in progress may be answered in any order. Rows that are older than the known ones must not replace them.
Test(table_follower, a_probe_that_a_read_overtook_changes_nothing)
{
    fixture f;
    f.store.answer(rowsOf({ "a" }, 3));
    bool probed = false;
    f.follower->probe([&probed](instant, const store_result&) { probed = true; });
    f.store.answer(rowsOf({ "a" }, 5));
    const std::uint64_t digest = f.follower->digest();
    f.store.answer(rowsOf({ "a" }, 4));
    cr_assert(probed);
    cr_assert_eq(f.changed, 1);
    cr_assert_eq(f.follower->digest(), digest);
}

// Two pages of different generations are not one table.
Test(table_follower, a_table_that_changes_its_generation_between_pages_is_read_from_the_start)
{
    fixture f;
    store_rows first = rowsOf({ "a" }, 20, true);
    first.generation = 3;
    f.store.answer(std::move(first));
    store_rows second = rowsOf({ "b" }, 12);
    second.generation = 4;
    f.store.answer(std::move(second));
    cr_assert_not(f.whole.has_value());
    cr_assert_eq(f.restored, 1);
    cr_assert_eq(f.store.next().what, "read op");
}

// Pattern: 149 entries start together, and each writes a row that the others would read. They give the zone's reader the time to
// confirm what they know; one that hears no reader reads the changes itself.
Test(table_follower, after_a_whole_read_the_zones_reader_gets_its_chance)
{
    fixture f(std::chrono::seconds(3));
    f.store.answer(rowsOf({ "a" }, 7));
    f.runSome();
    cr_assert_not(f.store.hasCall());
    f.now += std::chrono::seconds(4);
    f.untilCall();
    cr_assert_eq(f.store.next().what, "changes op");
}
