#include "storefeed/store_access.h"

#include <criterion/criterion.h>

using namespace appleramp;

// Guards against a late end of an outage (trouble-1 on hvk-invoicing, seed 253017840691): the configuration was read
// again at second 11.8, but a long poll of the registry returned only at second 15. An endpoint that left in between was
// treated as expired in the outage and got requests 2.4 s after it had announced that it leaves.
Test(store_access, the_store_is_back_with_the_first_answer)
{
    store_access access(2);
    cr_assert(!access.note(0, false));
    cr_assert(access.note(1, false) == false);
    cr_assert(access.note(0, true) == true);
    cr_assert(!access.note(1, true));
}

Test(store_access, one_table_that_cannot_be_read_is_no_outage)
{
    store_access access(2);
    cr_assert(!access.note(1, false));
    cr_assert(!access.note(1, true));
}
