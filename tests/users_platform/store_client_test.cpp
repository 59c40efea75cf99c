#include "platform/store_client.h"

#include "http/http_acceptor.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <optional>

using namespace appleramp;
using namespace appleramp::users_platform;

namespace {

// The client connected to a server that gives the same status and body to every request.
class fixture {
public:
    fixture(unsigned status, const std::string& body)
        : m_acceptor(
            m_loop, "127.0.0.1", 0, [] { return server_limits {}; },
            [this, status, body](const auto& connection, http_request request) {
                asked = std::move(request);
                http_response response;
                if (!generation.empty())
                    response.head.headers.add("Store-Era", generation);
                response.head.status = status;
                response.body = body;
                connection->respond(std::move(response));
            })
        , client(m_loop, "127.0.0.1:" + std::to_string(m_acceptor.port()))
    {
    }

    store_result result(const std::function<void(store_handler)>& call)
    {
        std::optional<store_result> seen;
        call([&](store_result answer) { seen = std::move(answer); });
        while (!seen)
            cr_assert_gt(m_loop.run_one_for(std::chrono::seconds(10)), 0);
        return *seen;
    }

private:
    boost::asio::io_context m_loop;
    http_acceptor m_acceptor;

public:
    store_client client;
    http_request asked;
    std::string generation;
};

store_failure failureOf(unsigned status)
{
    fixture store(status, "{}");
    return std::get<store_failure>(store.result([&](store_handler done) { store.client.read("t", {}, std::move(done)); }));
}

} // namespace

Test(store_client, rows_are_read_and_decoded)
{
    fixture store(200, R"({"rows":[{"table":"t","part":"","key":"k","value":"bm9kZS0x","ver":412},{"key":"d","ver":413,"deleted":true}],"has_more":true,"ver":530})");
    const auto rows = std::get<store_rows>(store.result([&](store_handler done) { store.client.read("t a", "f/1", std::move(done)); }));
    cr_assert_eq(store.asked.head.target, "/v1/rows-get?table=t%20a&part=&from=f%2F1");
    cr_assert_eq(rows.rows[0].value, "node-1");
    cr_assert(rows.rows[1].removed && rows.hasMore);
    cr_assert_eq(rows.version, 530);
}

// Guards against a value of another writer that is no base64 and ends each process that reads its table (processes that end by themselves).
Test(store_client, a_value_that_is_not_encoded_hides_no_other_row)
{
    for (const char* odd : { "no base64!", "YWJ", "\\u0000", "YWJj===" }) {
        fixture store(200, R"({"rows":[{"key":"a","value":")" + std::string(odd) + R"(","ver":1},{"key":"b","value":"bm9kZS0x","ver":2}],"ver":2})");
        const auto rows = std::get<store_rows>(store.result([&](store_handler done) { store.client.read("t", {}, std::move(done)); }));
        cr_assert_eq(rows.rows.size(), 2);
        cr_assert_eq(rows.rows[1].value, "node-1");
    }
}

Test(store_client, an_answer_without_a_list_of_rows_is_malformed)
{
    for (const char* rows : { "5", "{}", "\"x\"" }) {
        fixture store(200, R"({"ver":1,"rows":)" + std::string(rows) + "}");
        const auto result = store.result([&](store_handler done) { store.client.read("t", {}, std::move(done)); });
        cr_assert(std::holds_alternative<store_failure>(result) && std::get<store_failure>(result) == store_failure::Malformed, "%s", rows);
    }
}

Test(store_client, a_write_carries_conditions_and_rows)
{
    fixture store(200, R"({"ver":1,"now_ms":5})");
    store.result([&](store_handler done) { store.client.write({ { "t", "k", 3 } }, { { "t", "k", "node-1", false }, { "t", "old", "", true } }, std::move(done)); });
    const auto body = nlohmann::json::parse(store.asked.body);
    cr_assert_eq(body.at("precondition")[0].at("ver").get<int>(), 3);
    cr_assert_eq(body.at("writes")[0].at("value").get<std::string>(), "bm9kZS0x");
    cr_assert_eq(body.at("remove")[0].at("key").get<std::string>(), "old");
}

Test(store_client, every_refusal_has_its_meaning)
{
    cr_assert(failureOf(410) == store_failure::HistoryTruncated);
    cr_assert(failureOf(412) == store_failure::Conflict);
    cr_assert(failureOf(429) == store_failure::Refused);
    cr_assert(failureOf(503) == store_failure::Refused);
    cr_assert(failureOf(500) == store_failure::Malformed);
}

Test(store_client, an_answer_that_is_no_document_is_unreadable)
{
    fixture store(200, "<html>");
    const auto result = store.result([&](store_handler done) { store.client.read("t", {}, std::move(done)); });
    cr_assert(std::get<store_failure>(result) == store_failure::Malformed);
}

// Guards against an answer from before the store went back that arrives late: it shows rows that the store has lost.
Test(store_client, an_answer_of_an_older_generation_is_no_answer)
{
    fixture store(200, R"({"rows":[],"ver":530})");
    const auto read = [&] { return store.result([&](store_handler done) { store.client.read("t", {}, std::move(done)); }); };
    store.generation = "7";
    cr_assert_eq(std::get<store_rows>(read()).generation, 7);
    store.generation = "8";
    cr_assert_eq(std::get<store_rows>(read()).generation, 8);
    store.generation = "7";
    cr_assert_eq(std::get<store_failure>(read()), store_failure::NoResponse);
}
