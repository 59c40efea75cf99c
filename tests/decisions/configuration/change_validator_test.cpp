#include "decisions/configuration/change_validator.h"

#include <criterion/criterion.h>

using namespace appleramp;

Test(change_validator, takes_an_exception_only_with_a_written_reason)
{
    cr_assert(!validateChange("c-1", add_exception { { team_id("kitchen"), 5, "morning cutoff" } }));
    cr_assert(validateChange("c-1", add_exception { { team_id("kitchen"), 5, "" } }));
    cr_assert(validateChange("c-1", add_exception { { team_id("kitchen"), 5, " \t\n" } }));
}

Test(change_validator, takes_the_built_in_defaults_and_refuses_values_out_of_range)
{
    cr_assert(!validateChange("c-1", set_defaults {}));
    set_defaults change;
    change.defaults.retryBudgetPercent = 101;
    cr_assert(validateChange("c-1", change));
    change.defaults = {};
    change.defaults.keyRetention = std::chrono::minutes(1);
    cr_assert(validateChange("c-1", change));
}

Test(change_validator, refuses_names_and_routes_that_are_none)
{
    cr_assert(validateChange("", take_zone_out { availability_zone_id("a") }));
    cr_assert(validateChange("c-1", take_zone_out { availability_zone_id("") }));
    put_service change { service_id("orders"), {} };
    change.policy.repeatableRoutes = { "/availability" };
    cr_assert(!validateChange("c-1", change));
    change.policy.repeatableRoutes = { "availability" };
    cr_assert(validateChange("c-1", change));
    change.policy.repeatableRoutes = { "/availability/../orders" };
    cr_assert(validateChange("c-1", change));
}
