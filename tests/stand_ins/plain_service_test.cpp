#include "stand_ins/plain_service.h"

#include "platform/http_exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace appleramp;
using namespace std::chrono_literals;
using nlohmann::json;
using stand_ins::plain_service;

namespace {

// The status of the answer; zero if there was none.
int order(plain_service& service, const std::string& key)
{
    Poco::Net::HTTPClientSession session("127.0.0.1", service.host().port());
    Poco::Net::HTTPRequest request("POST", "/orders", "HTTP/1.1");
    request.set("Idempotency-Key", key);
    request.setContentLength(0);
    Poco::Net::HTTPResponse response;
    try {
        session.sendRequest(request);
        session.receiveResponse(response);
    } catch (const Poco::Exception&) {
        return 0;
    }
    return response.getStatus();
}

} // namespace

Test(plain_service, every_order_runs_and_is_counted)
{
    plain_service service({});
    cr_assert_eq(order(service, "k1"), 200);
    cr_assert_eq(order(service, "k1"), 200);
    cr_assert_eq(order(service, "k2"), 200);
    http_exchange exchange(service.host().address(), 2s, 10s);
    const auto counts = json::parse(exchange.send("GET", "/orders/executions").body);
    cr_assert(counts.at("counts").at("k1") == 2 && counts.at("counts").at("k2") == 1);
    cr_assert(counts.at("total") == 3);
    cr_assert_eq(exchange.send("GET", "/availability").status, 200);
    cr_assert_eq(exchange.send("GET", "/nothing").status, 404);
}

Test(plain_service, drop_before_work_leaves_the_order_undone)
{
    plain_service service({});
    service.host().setFaults({ .dropBeforeWork = 1 });
    cr_assert_eq(order(service, "k"), 0);
    cr_assert_eq(service.executions("k"), 0);
}

Test(plain_service, drop_after_work_loses_only_the_answer)
{
    plain_service service({});
    service.host().setFaults({ .dropAfterWork = 1 });
    cr_assert_eq(order(service, "k"), 0);
    cr_assert_eq(service.executions("k"), 1);
}
