#include "memory/body_budget.h"

#include <criterion/criterion.h>

#include <memory>
#include <thread>
#include <vector>

using namespace appleramp;

namespace {

constexpr std::size_t mebibyte = 1024UL * 1024;
constexpr std::size_t limit = 16 * mebibyte;

} // namespace

Test(body_budget, large_bodies_leave_room_for_ordinary_ones)
{
    body_budget budget(limit);
    std::vector<std::unique_ptr<body_budget::reservation>> large;
    large.reserve(3);
    for (int body = 0; body < 3; ++body)
        large.push_back(budget.reserve(4 * mebibyte));
    cr_assert(large.back() != nullptr);
    cr_assert(budget.reserve(4 * mebibyte) == nullptr);
    cr_assert(budget.reserve(1000) != nullptr);
    large.pop_back();
    cr_assert(budget.reserve(4 * mebibyte) != nullptr);
}

// Guards against reservations of several threads that are lost to one another: the budget would shrink or grow for good.
Test(body_budget, counts_what_threads_reserve_at_the_same_time)
{
    body_budget budget(limit);
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int index = 0; index < 4; ++index) {
        threads.emplace_back([&budget] {
            for (int round = 0; round < 20'000; ++round)
                static_cast<void>(budget.reserve(1000));
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    cr_assert(budget.reserve(limit / 4 * 3) != nullptr);
    cr_assert(budget.reserve(limit / 4 * 3 + 1) == nullptr);
}
