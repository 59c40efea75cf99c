#include "decisions/forwarding/configuration_trust.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

// A key that was withdrawn in version 10 must not be confirmed by a store that went back to version 9.
Test(configuration_trust, an_older_copy_of_the_store_confirms_nothing)
{
    configuration_trust trust;
    trust.onMembersKnown(instant(1s), false);
    cr_assert(trust.allowsConfirmation(instant(1s), 10));
    trust.onStoreVersion(9, 10);
    cr_assert_not(trust.allowsConfirmation(instant(2s), 10));
    trust.onStoreVersion(10, 10);
    cr_assert(trust.allowsConfirmation(instant(3s), 10));
}

// A process that starts while the store holds an older copy knows nothing better by itself.
Test(configuration_trust, a_starting_process_waits_for_its_peers)
{
    configuration_trust trust;
    cr_assert_not(trust.allowsConfirmation(instant(1s), 9));
    trust.onMembersKnown(instant(1s), true);
    cr_assert_not(trust.allowsConfirmation(instant(1100ms), 9));
    trust.onPeerVersion(10);
    cr_assert_not(trust.allowsConfirmation(instant(10s), 9));
    cr_assert(trust.allowsConfirmation(instant(10s), 10));
}

Test(configuration_trust, silent_peers_delay_the_start_for_a_short_time_only)
{
    configuration_trust trust;
    trust.onMembersKnown(instant(1s), true);
    cr_assert(trust.allowsConfirmation(instant(1s) + configuration_trust::peerAnswerTime, 9));
    // A later read of the members does not delay it again.
    trust.onMembersKnown(instant(20s), true);
    cr_assert(trust.allowsConfirmation(instant(20s), 9));
}
