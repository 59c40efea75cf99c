#include "decisions/maps/transfer_budget.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

Test(transfer_budget, refills_at_its_rate_up_to_the_burst)
{
    transfer_budget budget(100, 1000);
    cr_assert(budget.reserve(instant(0s), 1000));
    cr_assert_not(budget.reserve(instant(1s), 101));
    cr_assert(budget.reserve(instant(1s), 100));
    cr_assert_eq(budget.available(instant(100s)), 1000);
}

Test(transfer_budget, a_byte_costs_more_when_few_are_left)
{
    transfer_budget budget(100, 1000);
    cr_assert_float_eq(budget.priceFactor(instant(0s)), 1, 1e-9);
    budget.reserve(instant(0s), 750);
    cr_assert_float_eq(budget.priceFactor(instant(0s)), 4, 1e-9);
}

Test(transfer_budget, released_bytes_can_be_reserved_again)
{
    transfer_budget budget(100, 1000);
    budget.reserve(instant(0s), 1000);
    budget.release(400);
    cr_assert_eq(budget.available(instant(0s)), 400);
}
