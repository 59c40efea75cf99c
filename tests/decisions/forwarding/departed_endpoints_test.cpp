#include "decisions/forwarding/departed_endpoints.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

endpoint_record record(const std::string& name, std::uint64_t startedAtMs = 100)
{
    endpoint_record result;
    result.id = endpoint_id(name);
    result.startedAtMs = startedAtMs;
    return result;
}

} // namespace

// An endpoint that said that it leaves keeps serving for a while and may be listed as ready for seconds.
Test(departed_endpoints, one_that_said_so_stays_out_until_it_starts_again)
{
    departed_endpoints departed;
    cr_assert(departed.recordLeaving(instant(1s), record("e1")));
    cr_assert_not(departed.recordLeaving(instant(2s), record("e1")));
    cr_assert(departed.excludes(instant(60s), record("e1")));
    cr_assert_not(departed.excludes(instant(60s), record("e1", 101)));
    cr_assert_not(departed.excludes(instant(60s), record("e2")));
    // Being unlisted later must not weaken the statement.
    departed.recordUnlisted(instant(61s), record("e1"));
    cr_assert(departed.excludes(instant(70s), record("e1")));
}

// An endpoint that lapsed in an outage and is listed again lives.
Test(departed_endpoints, one_that_was_only_unlisted_comes_back)
{
    departed_endpoints departed;
    departed.recordUnlisted(instant(1s), record("e1"));
    cr_assert_not(departed.excludes(instant(2s), record("e1")));
}

// A store that came back from a copy some seconds old lists endpoints that have left since.
Test(departed_endpoints, an_older_copy_of_the_registry_brings_nothing_back)
{
    departed_endpoints departed;
    departed.recordUnlisted(instant(1s), record("e1"));
    departed.onStoreRestored(instant(3s));
    cr_assert(departed.excludes(instant(8s), record("e1")));
    // Still listed: it renews its row, so it lives.
    cr_assert_not(departed.excludes(instant(3s) + departed_endpoints::distrustPeriod, record("e1")));
}

Test(departed_endpoints, the_memory_is_bounded)
{
    departed_endpoints departed;
    for (std::size_t index = 0; index <= departed_endpoints::maxDepartures; ++index)
        departed.recordLeaving(instant(1s * static_cast<int>(index)), record("e" + std::to_string(index)));
    cr_assert_eq(departed.size(), departed_endpoints::maxDepartures);
    cr_assert_not(departed.excludes(instant(5000s), record("e0")));
    departed.removeExpired(instant(1s * static_cast<int>(departed_endpoints::maxDepartures)) + departed_endpoints::memory + 1s);
    cr_assert_eq(departed.size(), 0);
}
