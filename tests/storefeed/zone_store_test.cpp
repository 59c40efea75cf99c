#include "storefeed/zone_store.h"

#include "fakes/fake_row_store.h"
#include "http/http_acceptor.h"

#include <boost/asio/executor_work_guard.hpp>
#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

// A process beside a reader that answers what the test sets; without an answer it says that it does not know.
class fixture {
public:
    fixture()
        : m_acceptor(
            m_loop, "127.0.0.1", 0, [] { return server_limits {}; },
            [this](const auto& connection, const http_request& request) {
                asked = request.head.target;
                http_response response;
                response.head.status = answer ? 200 : 404;
                response.body = answer ? encodeChanges(*answer) : "";
                connection->respond(std::move(response));
            })
        , zone(m_loop, store, [this] { return reader; })
        , reader("127.0.0.1:" + std::to_string(m_acceptor.port()))
    {
    }

    // Asks for changes after version 7 and runs until the reader or the store is asked for the result.
    void ask()
    {
        result.reset();
        zone.changes("op", 7, 1s, [this](store_result got) { result = std::move(got); });
        while (!result && !store.hasCall())
            cr_assert_gt(m_loop.run_one_for(5s), 0);
    }

    static store_rows changes(duration age)
    {
        store_rows rows { .rows = { { "config", "v2", 9, false } }, .version = 9 };
        rows.age = age;
        return rows;
    }

private:
    boost::asio::io_context m_loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work { m_loop.get_executor() };
    http_acceptor m_acceptor;

public:
    fake_row_store store;
    zone_store zone;
    std::optional<std::string> reader;
    std::optional<store_rows> answer;
    std::optional<store_result> result;
    std::string asked;
};

} // namespace

// Pattern: 149 entries, of which one a zone reads the store; the others take the changes from it.
Test(zone_store, the_reader_of_the_zone_passes_changes_on)
{
    fixture f;
    f.answer = fixture::changes(100ms);
    f.ask();
    cr_assert_eq(f.asked, "/v1/table-changes/op/0/7");
    cr_assert_eq(std::get<store_rows>(*f.result).rows.size(), 1);
    cr_assert(*std::get<store_rows>(*f.result).age == duration(100ms));
    cr_assert_eq(f.zone.storeCalls(), 0);
}

// A reader that is cut off from the store, knows nothing new, does not answer or is not there must not hide changes.
Test(zone_store, the_store_is_asked_where_the_reader_does_not_help)
{
    fixture f;
    f.answer = fixture::changes(zone_store::maxReaderAge + 1ms);
    f.ask();
    cr_assert_eq(f.store.next().what, "changes op");
    f.store.answer(store_rows { .version = 8 });

    f.answer = fixture::changes(0ms);
    f.answer->rows.clear();
    f.ask();
    cr_assert(f.store.hasCall());
    f.store.answer(store_rows { .version = 8 });

    f.answer.reset();
    f.ask();
    cr_assert(f.store.hasCall());
    f.store.answer(store_rows { .version = 8 });

    // A port at which nobody listens.
    f.reader = "127.0.0.1:1";
    f.ask();
    cr_assert(f.store.hasCall());
    f.store.answer(store_rows { .version = 8 });

    f.reader.reset();
    f.ask();
    cr_assert(f.store.hasCall());
    cr_assert_eq(f.zone.storeCalls(), 5);
}

// The question names the generation of which the table was read, so that a reader of another one refuses.
Test(zone_store, the_question_names_the_generation)
{
    fixture f;
    f.zone.read("op", {}, [](const store_result&) {});
    f.store.answer(store_rows { .version = 7, .generation = 4 });
    f.ask();
    cr_assert_eq(f.asked, "/v1/table-changes/op/4/7");
}
