#include "storefeed/store_watch.h"

#include "storefeed/held_questions.h"

#include <criterion/criterion.h>

#include <vector>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> others { "b", "c" };

// Runs until the watch sends a notice; at most two seconds.
store_notice nextNotice(store_watch& watch, instant& now, bool isReader = true)
{
    for (const instant end = now + 2s; now < end; now += 25ms) {
        if (const auto notice = watch.decide(now, others, isReader).notice)
            return *notice;
    }
    cr_assert(false, "no notice");
    return {};
}

store_notice lostNotice(const std::string& sender, std::uint32_t turn, const std::string& prober)
{
    return { sender, false, turn, prober, 1s, 3, store_symptom::Broken };
}

} // namespace

// A single failed call must not make the zone give up the store.
Test(store_watch, an_answer_ends_a_suspicion)
{
    store_watch watch("a", {}, 1);
    instant now(10s);
    watch.onFailed(now, now, store_failure::NoResponse);
    cr_assert(watch.decide(now, others, true).probe);
    now += 100ms;
    watch.onAnswered(now, 0ms);
    for (; now < instant(12s); now += 25ms)
        cr_assert(!watch.decide(now, others, true).change);
    cr_assert(!watch.isLost());
}

// The store stops answering without a sign: the overdue poll alone shows it.
Test(store_watch, an_overdue_answer_leads_to_a_loss_with_its_evidence)
{
    store_watch watch("a", {}, 1);
    watch.onAnswered(instant(10s), 0ms);
    watch.expectAnswer(instant(10500ms));
    for (instant now(10s); now < instant(11s); now += 25ms) {
        const auto decision = watch.decide(now, others, true);
        if (!decision.change)
            continue;
        cr_assert(!decision.change->reachable);
        cr_assert_eq(decision.change->seenBy, "a");
        cr_assert_eq(decision.change->symptom, store_symptom::Silent);
        cr_assert_leq(decision.change->servedAge, 2s);
        return;
    }
    cr_assert(false, "the loss was not noticed within a second");
}

// One machine that is cut off from the store must not stop the reads of its zone.
Test(store_watch, a_loss_that_newer_evidence_contradicts_is_not_believed)
{
    store_watch watch("a", {}, 1);
    watch.onAnswered(instant(10s), 0ms);
    watch.onNotice(instant(10100ms), lostNotice("c", 1, "c"));
    cr_assert(!watch.isLost());
    instant now(10100ms);
    const store_notice reply = nextNotice(watch, now);
    cr_assert(reply.isServed);
    cr_assert_gt(reply.turn, 1);
}

// A prober that is cut off from the store would never notice its return.
Test(store_watch, the_turn_passes_on_after_a_few_probes)
{
    store_watch watch("a", {}, 1);
    instant now(10s);
    watch.onFailed(now, now, store_failure::NoResponse);
    store_notice notice = nextNotice(watch, now);
    cr_assert_eq(notice.prober, "a");
    const instant lostAt = now;
    while (notice.prober == "a") {
        now += 25ms;
        notice = nextNotice(watch, now);
    }
    cr_assert_eq(notice.prober, "b");
    cr_assert_leq(now - lostAt, 500ms);
    now += 25ms;
    cr_assert(!watch.decide(now, others, true).probe);
}

// A prober that dies or stands still is replaced within half a second, and by one entry only.
Test(store_watch, a_silent_prober_is_replaced)
{
    store_watch watch("a", {}, 1);
    store_watch later("c", {}, 1);
    instant now(10s);
    watch.onNotice(now, lostNotice("b", 1, "b"));
    later.onNotice(now, lostNotice("b", 1, "b"));
    const instant silentSince = now;
    std::optional<store_notice> taken;
    for (; !taken; now += 25ms) {
        cr_assert(!later.decide(now, std::vector<std::string> { "a", "b" }, false).probe);
        const auto decision = watch.decide(now, others, true);
        cr_assert_eq(decision.probe, decision.notice.has_value());
        taken = decision.notice;
    }
    cr_assert_leq(now - silentSince, 500ms);
    cr_assert_eq(taken->prober, "a");
    // The old prober goes on and hears of the newer turn.
    store_watch old("b", {}, 1);
    old.onNotice(now, lostNotice("b", 1, "b"));
    old.onNotice(now, *taken);
    cr_assert(!old.decide(now, std::vector<std::string> { "a", "c" }, false).probe);
}

// A notice that was delayed by the network must not undo what came after it.
Test(store_watch, a_notice_of_an_earlier_turn_is_ignored)
{
    store_watch watch("a", {}, 1);
    instant now(10s);
    watch.onNotice(now, lostNotice("b", 4, "b"));
    cr_assert(watch.isLost());
    watch.onNotice(now, { "c", true, 5, "b", 0ms, 0, store_symptom::None });
    cr_assert(!watch.isLost());
    watch.onNotice(now + 5ms, lostNotice("b", 4, "b"));
    cr_assert(!watch.isLost());
    watch.onNotice(now + 5ms, { "b", true, 3, "b", 0ms, 0, store_symptom::None });
    cr_assert_eq(watch.servedEntry(), "c");
}

// What is sent unasked counts from a question, so that it ages while it waits for a process that stands still.
Test(held_questions, old_questions_are_not_answered)
{
    held_questions held;
    held.onQuestion(instant(10s), "b", { instant(500s) });
    held.onQuestion(instant(11s), "b", { instant(501s) });
    const auto recent = held.recent(instant(11500ms));
    cr_assert_eq(recent.size(), 1);
    cr_assert(recent.front().askedAt == instant(501s));
    cr_assert(held.recent(instant(13100ms)).empty());
    for (int entry = 0; entry < 1000; ++entry)
        held.onQuestion(instant(14s), std::to_string(entry), { instant(1s) });
    cr_assert_eq(held.recent(instant(14s)).size(), held_questions::maxQuestions);
}
