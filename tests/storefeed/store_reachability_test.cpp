#include "storefeed/store_reachability.h"

#include <criterion/criterion.h>

using namespace appleramp;

// Guards against a late end of an outage (trouble-1 on hvk-invoicing, seed 253017840691): the configuration was read
// again at second 11.8, but a long poll of the registry returned only at second 15. An endpoint that left in between was
// treated as expired in the outage and got requests 2.4 s after it had announced that it leaves.
Test(store_reachability, the_store_is_back_with_the_first_answer)
{
    store_reachability reachability(2);
    cr_assert(!reachability.update(0, false));
    cr_assert(reachability.update(1, false) == false);
    cr_assert(reachability.update(0, true) == true);
    cr_assert(!reachability.update(1, true));
}

Test(store_reachability, one_table_that_cannot_be_read_is_no_outage)
{
    store_reachability reachability(2);
    cr_assert(!reachability.update(1, false));
    cr_assert(!reachability.update(1, true));
}
