#include "decisions/configuration/configuration_register.h"

#include <criterion/criterion.h>

#include <vector>

using namespace appleramp;

namespace {

accepted_change zoneOut(configuration_version version, const std::string& zone)
{
    return { version, "change-" + std::to_string(version), take_zone_out { availability_zone_id(zone) } };
}

} // namespace

Test(configuration_register, never_takes_an_older_document)
{
    configuration_register known;
    known.adopt(std::vector { zoneOut(1, "a"), zoneOut(2, "b") });
    fleet_configuration older;
    older.version = 1;
    cr_assert_not(known.adopt(older));
    cr_assert_eq(known.version(), 2U);
    cr_assert(known.current().zonesOut.contains(availability_zone_id("b")));
}

Test(configuration_register, takes_changes_once_and_without_gaps)
{
    configuration_register known;
    cr_assert(known.adopt(std::vector { zoneOut(1, "a") }));
    cr_assert_not(known.adopt(std::vector { zoneOut(1, "other") }));
    cr_assert_not(known.adopt(std::vector { zoneOut(3, "c") }));
    cr_assert_eq(known.version(), 1U);
    cr_assert_not(known.current().zonesOut.contains(availability_zone_id("other")));
    cr_assert(known.adopt(std::vector { zoneOut(2, "b"), zoneOut(3, "c") }));
    cr_assert_eq(known.version(), 3U);
}
