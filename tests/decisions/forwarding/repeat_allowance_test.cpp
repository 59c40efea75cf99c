#include "decisions/forwarding/repeat_allowance.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const service_id service("drafts");

std::size_t takeAll(repeat_allowance& allowance, instant now, std::size_t entries)
{
    std::size_t taken = 0;
    while (allowance.take(now, service, entries))
        ++taken;
    return taken;
}

} // namespace

// Pattern: endpoints fail in masses and every entry repeats. Entries that can't hear each other keep the sum.
Test(repeat_allowance, shares_of_all_entries_keep_the_budget)
{
    const repeat_settings settings { .ratio = 0.2, .constant = 90, .window = 10s };
    std::size_t sum = 0;
    for (int entry = 0; entry < 8; ++entry) {
        repeat_allowance allowance(settings);
        for (int request = 0; request < 100; ++request)
            allowance.noteRequest(instant(1s), service);
        sum += takeAll(allowance, instant(2s), 8);
    }
    cr_assert_leq(sum, 0.2 * 800 + 90);
    cr_assert_geq(sum, 150);
}

Test(repeat_allowance, the_window_slides)
{
    repeat_allowance allowance({ .ratio = 0, .constant = 10, .window = 10s });
    cr_assert_eq(takeAll(allowance, instant(1s), 1), 8);
    cr_assert_eq(takeAll(allowance, instant(10s), 1), 0);
    cr_assert_eq(takeAll(allowance, instant(11s), 1), 8);
}
