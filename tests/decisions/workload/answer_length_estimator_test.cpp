#include "decisions/workload/answer_length_estimator.h"

#include <criterion/criterion.h>

#include <string>

using namespace appleramp;

// Guards against lengths that stay at the published mean though answers of the route are far shorter.
Test(answer_length_estimator, learns_the_lengths_of_a_route)
{
    answer_length_estimator estimator;
    const answer_length_query query { "drafts", 4000, 0, 1000 };
    for (int answer = 0; answer < 40; ++answer)
        estimator.recordAnswer(query, 95);
    cr_assert_geq(estimator.expectedTokens(query), 85);
    cr_assert_leq(estimator.expectedTokens(query), 115);
}

// Guards against hints that are right and are ignored: lengths of 20 and 2,000 tokens, each hinted.
Test(answer_length_estimator, hints_that_were_right_are_followed)
{
    answer_length_estimator estimator;
    for (int answer = 0; answer < 60; ++answer) {
        const std::uint32_t length = answer % 2 == 0 ? 20 : 2000;
        estimator.recordAnswer({ "drafts", 4000, length, 200 }, length);
    }
    cr_assert_leq(estimator.expectedTokens({ "drafts", 4000, 20, 200 }), 40);
    cr_assert_geq(estimator.expectedTokens({ "drafts", 4000, 2000, 200 }), 1000);
}

// Guards against harm by hints that are wrong by a factor of 10 in either direction: answers have 160 tokens.
Test(answer_length_estimator, wrong_hints_lose_their_influence)
{
    answer_length_estimator estimator;
    for (int answer = 0; answer < 40; ++answer)
        estimator.recordAnswer({ "drafts", 4000, answer % 2 == 0 ? 16U : 1600U, 160 }, 160);
    for (const std::uint32_t hint : { 0U, 16U, 1600U, 4'000'000'000U }) {
        cr_assert_geq(estimator.expectedTokens({ "drafts", 4000, hint, 160 }), 120);
        cr_assert_leq(estimator.expectedTokens({ "drafts", 4000, hint, 160 }), 220);
    }
}

// Guards against wild estimates by an entry that has just started.
Test(answer_length_estimator, expects_the_published_mean_after_a_start)
{
    const answer_length_estimator estimator;
    const std::uint32_t expected = estimator.expectedTokens({ "drafts", 4000, 0, 160 });
    cr_assert_geq(expected, 160);
    cr_assert_leq(expected, 270);
    cr_assert_leq(estimator.expectedTokens({ "drafts", 100, 0, 160 }), 100);
}

// Guards against memory that grows with the names of routes.
Test(answer_length_estimator, keeps_a_bounded_number_of_routes)
{
    answer_length_estimator estimator;
    for (int route = 0; route < 1000; ++route) {
        const std::string name = std::to_string(route);
        estimator.recordAnswer({ name, 0, 0, 0 }, 10);
    }
    cr_assert_eq(estimator.size(), answer_length_estimator::maxRoutes);
}
