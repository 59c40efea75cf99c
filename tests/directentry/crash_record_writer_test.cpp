#include "directentry/crash_record_writer.h"

#include "fakes/fake_row_store.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

// A writer before a store that does not answer, filled to its bound.
class full_writer {
public:
    full_writer()
        : writer(m_loop, store, 1, [this](const std::string& row) { dropped.push_back(row); })
    {
        for (std::uint64_t id = 0; id < crash_record_writer::maxPendingRows; ++id)
            writer.put(recordOf(id));
    }

    static crash_record recordOf(std::uint64_t id) { return { .key = { suspect_kind::Request, id } }; }

private:
    boost::asio::io_context m_loop;

public:
    fake_row_store store;
    std::vector<std::string> dropped;
    crash_record_writer writer;
};

} // namespace

// Guards against a suspect that is forgotten without a line in the log, since the store is away and too many rows wait.
Test(crash_record_writer, says_which_row_it_drops)
{
    full_writer full;
    cr_assert(full.dropped.empty());
    full.writer.put(full_writer::recordOf(crash_record_writer::maxPendingRows));
    cr_assert_eq(full.dropped.size(), 1);
}

// Guards against a row that keeps its old value, as when a suspect is convicted while many rows wait.
Test(crash_record_writer, replaces_the_value_of_a_waiting_row_at_its_bound)
{
    full_writer full;
    full.writer.remove({ suspect_kind::Request, 0 });
    cr_assert(full.dropped.empty());
}
