#include "platform/platform_client.h"

#include "fakes/raw_answer_server.h"
#include "platform/platform_error.h"
#include "stand_ins/http_listener.h"
#include "stand_ins/http_reply.h"
#include "stand_ins/platform_stand_in.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;
using stand_ins::http_listener;
using stand_ins::platform_stand_in;

namespace {

platform_client_options optionsFor(const std::string& address, duration replyTimeout = 10s)
{
    return { address, 2s, replyTimeout };
}

listed_instance leavingEntry(const std::string& name)
{
    return { instance_id(name), process_role::Entry, availability_zone_id("zone-a"), "127.0.0.1:1", "127.0.0.1:2",
        instance_state::Leaving };
}

// A platform that answers every request with a fixed status and body.
struct fixed_answer_platform {
    fixed_answer_platform(int status, const std::string& body)
        : listener([status, body](auto& request, auto& response) {
            stand_ins::readBody(request);
            stand_ins::sendBytes(response, status, body);
        })
    {
        listener.open();
    }

    platform_status statusOf(const platform_call& call) const
    {
        return platform_client(optionsFor(listener.address())).call(call).status;
    }

    http_listener listener;
};

} // namespace

Test(platform_client, writes_and_reads_a_row)
{
    platform_stand_in platform;
    platform_client client(optionsFor(platform.address()));
    const auto written = client.call(table_put { "a key/with&odd=signs+", "v\n\"1\"", 0 });
    cr_assert(written.status == platform_status::Done);
    const auto read = client.call(table_get { "a key/with&odd=signs+" });
    cr_assert(read.status == platform_status::Done);
    cr_assert(read.rows.size() == 1 && read.rows[0].value == "v\n\"1\"");
    cr_assert_eq(read.rows[0].version, written.rows[0].version);
    cr_assert(client.call(table_get { "other" }).status == platform_status::NotFound);
}

Test(platform_client, conflict_shows_the_row_as_it_stands)
{
    platform_stand_in platform;
    platform_client client(optionsFor(platform.address()));
    const auto first = client.call(table_put { "k", "first", 0 });
    const auto conflicting = client.call(table_put { "k", "second", 0 });
    cr_assert(conflicting.status == platform_status::Conflict);
    cr_assert(conflicting.rows.size() == 1 && conflicting.rows[0].value == "first");
    cr_assert_eq(conflicting.rows[0].version, first.rows[0].version);
    const auto removal = client.call(table_remove { "k", first.rows[0].version + 1 });
    cr_assert(removal.status == platform_status::Conflict);
    cr_assert(removal.rows.size() == 1 && removal.rows[0].value == "first");
}

Test(platform_client, versions_are_not_used_again_after_a_removal)
{
    platform_stand_in platform;
    platform_client client(optionsFor(platform.address()));
    const auto first = client.call(table_put { "k", "1", 0 }).rows[0].version;
    cr_assert(client.call(table_remove { "k", first }).status == platform_status::Done);
    cr_assert(client.call(table_remove { "k", first }).status == platform_status::NotFound);
    const auto stale = client.call(table_put { "k", "2", first });
    cr_assert(stale.status == platform_status::Conflict);
    cr_assert_eq(stale.rows[0].version, 0);
    cr_assert_gt(client.call(table_put { "k", "3", 0 }).rows[0].version, first);
}

Test(platform_client, lists_page_by_page)
{
    platform_stand_in platform;
    platform_client client(optionsFor(platform.address()));
    for (const auto* key : { "b/1", "a/9", "b/3", "b/2", "c/1" })
        platform.apply(table_put { key, "", 0 });
    const auto page = client.call(table_list { "b/", "", 2 });
    cr_assert_eq(page.rows.size(), 2);
    cr_assert(page.rows[0].key == "b/1" && page.rows[1].key == "b/2");
    const auto rest = client.call(table_list { "b/", "b/2", 2 });
    cr_assert(rest.rows.size() == 1 && rest.rows[0].key == "b/3");
}

Test(platform_client, objects_keep_their_bytes)
{
    platform_stand_in platform;
    platform_client client(optionsFor(platform.address()));
    const std::string bytes("\xff\x00snapshot", 10);
    cr_assert(client.call(object_get { "o" }).status == platform_status::NotFound);
    cr_assert(client.call(object_put { "o", bytes }).status == platform_status::Done);
    cr_assert(client.call(object_get { "o" }).rows.at(0).value == bytes);
}

Test(platform_client, batch_results_are_independent_and_in_order)
{
    platform_stand_in platform;
    platform_client client(optionsFor(platform.address()));
    platform.apply(table_put { "taken", "x", 0 });
    const std::vector<platform_call> calls { table_put { "taken", "y", 0 }, table_put { "free", "z", 0 },
        table_get { "absent" }, table_list { "t", "", 0 } };
    const auto results = client.callBatch(calls);
    cr_assert_eq(results.size(), 4);
    cr_assert(results[0].status == platform_status::Conflict && results[0].rows.at(0).value == "x");
    cr_assert(results[1].status == platform_status::Done && results[1].rows.at(0).value == "z");
    cr_assert(results[2].status == platform_status::NotFound);
    cr_assert(results[3].rows.size() == 1 && results[3].rows[0].key == "taken");
}

Test(platform_client, outage_leaves_a_write_undone)
{
    platform_stand_in platform;
    platform_client client(optionsFor(platform.address()));
    platform.setFaults({ .down = true });
    cr_assert(client.call(table_put { "k", "v", 0 }).status == platform_status::Unavailable);
    cr_assert(platform.apply(table_get { "k" }).status == platform_status::NotFound);
    cr_assert_throw(client.listInstances(), platform_error);
    cr_assert_throw(client.registerInstance(leavingEntry("e")), platform_error);
}

Test(platform_client, connection_cut_while_idle_is_no_lost_reply)
{
    platform_stand_in platform;
    platform_client client(optionsFor(platform.address()));
    cr_assert(client.call(table_put { "a", "v", 0 }).status == platform_status::Done);
    platform.setFaults({ .down = true });
    platform.setFaults({});
    cr_assert(client.call(table_put { "b", "v", 0 }).status == platform_status::Done);
}

Test(platform_client, lost_reply_is_unknown_for_a_write_and_unavailable_for_a_read)
{
    platform_stand_in platform;
    platform_client client(optionsFor(platform.address()));
    platform.setFaults({ .loseReplyPercent = 100 });
    cr_assert(client.call(table_put { "k", "v", 0 }).status == platform_status::Unknown);
    cr_assert(client.call(object_put { "o", "v" }).status == platform_status::Unknown);
    cr_assert(client.call(table_get { "k" }).status == platform_status::Unavailable);
    const std::vector<platform_call> calls { table_put { "l", "v", 0 }, table_get { "l" } };
    const auto results = client.callBatch(calls);
    cr_assert(results.at(0).status == platform_status::Unknown);
    cr_assert(results.at(1).status == platform_status::Unavailable);
    cr_assert(platform.apply(table_get { "k" }).status == platform_status::Done);
}

Test(platform_client, write_that_times_out_may_still_take_effect)
{
    platform_stand_in platform;
    platform_client client(optionsFor(platform.address(), 50ms));
    platform.setFaults({ .delay = 300ms });
    cr_assert(client.call(table_put { "k", "v", 0 }).status == platform_status::Unknown);
    platform.awaitExchanges(1);
    cr_assert(platform.apply(table_get { "k" }).status == platform_status::Done);
}

Test(platform_client, faults_end_by_themselves)
{
    platform_stand_in platform;
    platform.setFaults({ .down = true, .revertAfter = 20ms });
    platform_client client(optionsFor(platform.address()));
    while (client.call(table_get { "k" }).status != platform_status::NotFound) { }
    cr_assert(!platform.faults().down);
}

Test(platform_client, refusal_took_no_effect_and_a_server_error_may_have)
{
    const table_put write { "k", "v", 0 };
    cr_assert(fixed_answer_platform(503, "").statusOf(write) == platform_status::Unavailable);
    cr_assert(fixed_answer_platform(429, "").statusOf(write) == platform_status::Unavailable);
    cr_assert(fixed_answer_platform(500, "").statusOf(write) == platform_status::Unknown);
    cr_assert(fixed_answer_platform(200, "{\"key\":").statusOf(write) == platform_status::Unknown);
    cr_assert(fixed_answer_platform(200, "{\"key\":\"k\"}").statusOf(write) == platform_status::Unknown);
    cr_assert(fixed_answer_platform(500, "").statusOf(table_get { "k" }) == platform_status::Unavailable);
}

// A platform that stops in the middle of an answer closes the connection, in the head or in the framing of the body. An
// object that is read in such an answer would be empty or short.
Test(platform_client, an_answer_that_is_cut_is_no_answer)
{
    raw_answer_server platform;
    const platform_client_options options = optionsFor(platform.address());
    for (const std::string head : { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n" }) {
        for (const std::string rest : { "Content-Length: 05\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" }) {
            const std::string answer = head + rest;
            for (const auto closedBy : { raw_answer_server::closing::Orderly, raw_answer_server::closing::Reset }) {
                for (std::size_t cut = 0; cut < answer.size(); ++cut) {
                    platform.answerWith(answer.substr(0, cut), closedBy);
                    const auto read = platform_client(options).call(object_get { "o" }).status;
                    cr_expect(read == platform_status::Unavailable, "read when cut at %zu of: %s", cut, answer.c_str());
                    const auto written = platform_client(options).call(object_put { "o", "v" }).status;
                    cr_expect(written == platform_status::Unknown, "written when cut at %zu of: %s", cut, answer.c_str());
                }
            }
            platform.answerWith(answer, raw_answer_server::closing::Orderly);
            cr_expect(platform_client(options).call(object_get { "o" }).rows.at(0).value == "whole", "%s", answer.c_str());
        }
    }
}

Test(platform_client, batch_with_too_few_results_is_unknown)
{
    const fixed_answer_platform platform(200, "[{\"status\":200,\"rows\":[]}]");
    platform_client client(optionsFor(platform.listener.address()));
    const std::vector<platform_call> calls { table_put { "a", "", 0 }, table_put { "b", "", 0 } };
    for (const auto& result : client.callBatch(calls))
        cr_assert(result.status == platform_status::Unknown);
}

Test(platform_client, instance_list_lags)
{
    platform_stand_in platform;
    platform_client client(optionsFor(platform.address()));
    client.registerInstance(leavingEntry("e1"));
    platform.setFaults({ .lag = 1h });
    cr_assert(client.listInstances().empty());
    platform.setFaults({});
    const auto instances = client.listInstances();
    cr_assert_eq(instances.size(), 1);
    cr_assert(instances[0].instance == instance_id("e1") && instances[0].role == process_role::Entry);
    cr_assert(instances[0].zone == availability_zone_id("zone-a") && instances[0].callerAddress == "127.0.0.1:2");
    cr_assert(instances[0].state == instance_state::Leaving && instances[0].linkAddress == "127.0.0.1:1");
    client.deregisterInstance(instance_id("e1"));
    cr_assert(client.listInstances().empty());
}

Test(platform_client, address_that_is_none_is_an_error)
{
    cr_assert_throw(platform_client(optionsFor("nonsense")), platform_error);
}
