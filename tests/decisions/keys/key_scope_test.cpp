#include "decisions/keys/key_scope.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

idempotency_key scope(const std::string& team, const std::string& service, const std::string& key)
{
    service_request request;
    request.team = team_id(team);
    request.service = service_id(service);
    request.key = idempotency_key(key);
    return scopedKey(request);
}

} // namespace

Test(key_scope, keeps_teams_and_services_with_separators_apart)
{
    cr_assert(scope("a", "b/c", "k") != scope("a/b", "c", "k"));
    cr_assert(scope("a", "b", "k") == scope("a", "b", "k"));
}

Test(key_scope, takes_a_route_only_at_a_boundary)
{
    cr_assert(isRepeatablePath("/availability", "/availability"));
    cr_assert(isRepeatablePath("/availability?week=3", "/availability"));
    cr_assert(isRepeatablePath("/availability/greens", "/availability"));
    cr_assert(!isRepeatablePath("/availability-orders", "/availability"));
}

Test(key_scope, takes_no_path_that_leaves_the_route)
{
    cr_assert(!isRepeatablePath("/availability/../orders", "/availability"));
    cr_assert(!isRepeatablePath("/availability/%2e%2e/orders", "/availability"));
    cr_assert(!isRepeatablePath("/availability//orders", "/availability"));
}
