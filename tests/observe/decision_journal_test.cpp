#include "observe/decision_journal.h"

#include <criterion/criterion.h>

#include <string>

using namespace appleramp;

namespace {

decision decisionOn(const std::string& subject, const std::string& reason)
{
    return { instant(), decision_kind::Placed, subject, reason };
}

} // namespace

Test(decision_journal, finds_a_subject_oldest_first)
{
    decision_journal journal(8);
    journal.record(decisionOn("a", "1"));
    journal.record(decisionOn("b", "2"));
    journal.record(decisionOn("a", "3"));
    const auto found = journal.find("a");
    cr_assert_eq(found.size(), 2u);
    cr_assert_eq(found[0].reason, "1");
    cr_assert_eq(found[1].reason, "3");
    cr_assert(journal.find("c").empty());
}

Test(decision_journal, the_oldest_make_room)
{
    decision_journal journal(4);
    for (int i = 0; i < 10; ++i)
        journal.record(decisionOn("a", std::to_string(i)));
    const auto found = journal.find("a");
    cr_assert_eq(found.size(), 4u);
    cr_assert_eq(found.front().reason, "6");
    cr_assert_eq(found.back().reason, "9");
    cr_assert_eq(journal.recorded(), 10u);
}

Test(decision_journal, long_texts_are_cut_and_still_found)
{
    decision_journal journal(4);
    const std::string subject(10'000, 's');
    journal.record(decisionOn(subject, std::string(10'000, 'r')));
    const auto found = journal.find(subject);
    cr_assert_eq(found.size(), 1u);
    cr_assert_eq(found[0].subject.size(), decision_journal::maxTextBytes);
    cr_assert_eq(found[0].reason.size(), decision_journal::maxTextBytes);
}
