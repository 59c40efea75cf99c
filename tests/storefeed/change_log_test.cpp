#include "storefeed/change_codec.h"
#include "storefeed/change_log.h"

#include <criterion/criterion.h>

#include <random>

using namespace appleramp;

namespace {

std::vector<store_row> rows(std::initializer_list<std::uint64_t> versions)
{
    std::vector<store_row> result;
    for (const std::uint64_t version : versions)
        result.push_back({ "key-" + std::to_string(version), "value", version, false });
    return result;
}

} // namespace

Test(change_log, it_gives_what_came_after_a_version)
{
    change_log log;
    log.reset(1, 10);
    log.append(rows({ 11, 14 }), 15);
    cr_assert_eq(log.since(1, 10)->size(), 2);
    cr_assert_eq(log.since(1, 11)->size(), 1);
    cr_assert(log.since(1, 15)->empty());
}

// Guards against gaps: an asker whose version is before the log, after it, or of another generation must read the store.
Test(change_log, it_says_nothing_where_changes_could_be_missing)
{
    change_log log;
    log.reset(1, 10);
    log.append(rows({ 11 }), 11);
    cr_assert_not(log.since(1, 9).has_value());
    cr_assert_not(log.since(1, 12).has_value());
    cr_assert_not(log.since(2, 10).has_value());
    log.reset(2, 5);
    cr_assert_not(log.since(1, 11).has_value());
    cr_assert(log.since(2, 5)->empty());
}

Test(change_log, it_is_bounded_and_forgets_the_oldest)
{
    change_log log;
    log.reset(1, 0);
    for (std::uint64_t version = 1; version <= change_log::maxRows + 5; ++version)
        log.append(rows({ version }), version);
    cr_assert_not(log.since(1, 4).has_value());
    cr_assert_eq(log.since(1, 5)->size(), change_log::maxRows);
}

Test(change_codec, changes_survive_a_round_trip)
{
    store_rows sent { .rows = rows({ 3, 4 }), .version = 9, .generation = 2 };
    sent.rows[1].removed = true;
    sent.rows[0].value = std::string("\0\xff", 2);
    sent.age = duration(1500);
    const auto read = decodeChanges(encodeChanges(sent));
    cr_assert(read.has_value());
    cr_assert_eq(read->rows[0].value, sent.rows[0].value);
    cr_assert(read->rows[1].removed && read->rows[1].version == 4);
    cr_assert_eq(read->version, 9);
    cr_assert_eq(read->generation, 2);
    cr_assert(*read->age == duration(1500));
}

Test(change_codec, targets_survive_a_round_trip_and_others_are_refused)
{
    const auto read = decodeChangesTarget(encodeChangesTarget({ "appleramp-members", 3, 17 }));
    cr_assert(read && read->table == "appleramp-members" && read->generation == 3 && read->afterVersion == 17);
    for (const std::string target : { "/v1/metrics", "/v1/table-changes/", "/v1/table-changes/op", "/v1/table-changes/op/x/1", "/v1/table-changes/op/1/-1", "/v1/table-changes/op/1/" })
        cr_assert_not(decodeChangesTarget(target).has_value(), "%s", target.c_str());
}

// Bytes from another program or a damaged answer must neither crash nor become rows.
Test(change_codec, damaged_bytes_are_refused)
{
    std::mt19937 random(1);
    const std::string whole = encodeChanges({ .rows = rows({ 3, 4, 5 }), .version = 9, .generation = 2 });
    for (std::size_t length = 0; length < whole.size(); ++length)
        cr_assert_not(decodeChanges(whole.substr(0, length)).has_value());
    for (int round = 0; round < 20'000; ++round) {
        std::string damaged = whole;
        damaged[random() % damaged.size()] = static_cast<char>(random());
        decodeChanges(damaged);
    }
}
