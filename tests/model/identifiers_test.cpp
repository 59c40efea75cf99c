#include "model/identifiers.h"

#include <criterion/criterion.h>

using namespace appleramp;

Test(identifiers, are_ordered_by_their_text)
{
    cr_assert(endpoint_id("a") < endpoint_id("b"));
    cr_assert(endpoint_id("a") == endpoint_id("a"));
}

Test(identifiers, attempts_are_ordered_by_entry_then_number)
{
    cr_assert((attempt_id { 1, 9 } < attempt_id { 2, 1 }));
    cr_assert((attempt_id { 2, 1 } < attempt_id { 2, 2 }));
}
