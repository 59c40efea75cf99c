#include "memory/memory_account.h"
#include "memory/memory_charge.h"

#include <criterion/criterion.h>

#include <memory>

using namespace appleramp;

namespace {

constexpr std::size_t limit = 4UL * 1024 * 1024;

} // namespace

Test(memory_account, charges_are_added_and_given_back)
{
    const auto account = std::make_shared<memory_account>(limit);
    memory_charge first(account);
    first.resize(1000);
    {
        memory_charge second(account);
        second.resize(500);
        second.resize(200);
        cr_assert_eq(account->heldBytes(), 1200);
    }
    cr_assert_eq(account->heldBytes(), 1000);
    first.resize(0);
    cr_assert_eq(account->heldBytes(), 0);
}

// Guards against a charge that ends after the process's own objects: exchanges of a stopped process are freed last.
Test(memory_account, a_charge_may_outlive_the_owner_of_the_account)
{
    auto account = std::make_shared<memory_account>(limit);
    memory_charge charge(account);
    account.reset();
    charge.resize(10);
    cr_assert_eq(charge.bytes(), 10);
}

Test(memory_account, nothing_is_counted_without_an_account)
{
    memory_charge charge(nullptr);
    charge.resize(10);
    cr_assert_eq(charge.bytes(), 0);
}

// Guards against large messages that take the room of ordinary requests.
Test(memory_account, the_last_quarter_is_for_small_holders)
{
    const auto account = std::make_shared<memory_account>(limit);
    memory_charge charge(account);
    charge.resize(limit / 4 * 3);
    constexpr std::size_t large = memory_account::smallBytes + 1;
    cr_assert(!account->hasRoomFor(large, large));
    cr_assert(!account->hasRoomFor(1, large));
    cr_assert(account->hasRoomFor(memory_account::smallBytes, memory_account::smallBytes));
    cr_assert(account->hasRoomFor(0, limit));
    charge.resize(limit / 4 * 3 + 1);
    cr_assert(!account->hasRoomFor(0, limit));
    cr_assert(account->hasRoomFor(0, 1));
    charge.resize(limit + 1);
    cr_assert(!account->hasRoomFor(0, 1));
}
