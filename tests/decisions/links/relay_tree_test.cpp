#include "decisions/links/relay_tree.h"

#include <criterion/criterion.h>

#include <set>

using namespace appleramp;

namespace {

std::vector<std::string> receivers(std::size_t count)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < count; ++index)
        names.push_back("10.0.0." + std::to_string(index));
    return names;
}

} // namespace

// Guards against agents that a broadcast leaves out or reaches twice, for any group and branch size and any rotation.
Test(relay_tree, each_receiver_is_in_one_branch)
{
    for (const std::size_t count : { 1, 2, 7, 38, 39, 191 }) {
        for (const std::size_t largest : { 0, 1, 4, 14, 500 }) {
            for (const std::size_t round : { 0, 1, 50 }) {
                std::multiset<std::string> reached;
                for (const relay_branch& branch : relayBranches(receivers(count), largest, round)) {
                    reached.insert(branch.relay);
                    reached.insert(branch.targets.begin(), branch.targets.end());
                    cr_assert_leq(branch.targets.size() + 1, std::max<std::size_t>(largest, 1));
                }
                const auto all = receivers(count);
                cr_assert(reached == std::multiset<std::string>(all.begin(), all.end()));
            }
        }
    }
}

// A relay that is gone must not cut off the same receivers at the next send.
Test(relay_tree, the_next_round_uses_other_relays)
{
    const auto all = receivers(38);
    std::set<std::string> first;
    for (const relay_branch& branch : relayBranches(all, 14, 0))
        first.insert(branch.relay);
    for (const relay_branch& branch : relayBranches(all, 14, 1))
        cr_assert_not(first.contains(branch.relay));
}

Test(relay_tree, no_receivers_need_no_branch)
{
    cr_assert(relayBranches({}, 4, 3).empty());
    cr_assert_eq(balancedBranchSize(0), 1);
    cr_assert_eq(balancedBranchSize(192), 14);
}
