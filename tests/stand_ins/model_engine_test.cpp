#include "stand_ins/model_engine.h"

#include "platform/http_exchange.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <thread>

using namespace appleramp;
using namespace std::chrono_literals;
using nlohmann::json;
using stand_ins::model_engine;
using stand_ins::model_engine_options;

namespace {

constexpr auto path = "/v1/chat/completions";

http_exchange exchangeWith(const std::string& address)
{
    return { address, 2s, 10s };
}

model_engine_options quickEngine()
{
    model_engine_options options;
    options.firstToken = 1ms;
    options.betweenTokens = 1ms;
    return options;
}

std::string health(model_engine& engine, const std::string& member)
{
    auto exchange = exchangeWith(engine.host().address());
    return json::parse(exchange.send("GET", "/health").body).at(member).dump();
}

} // namespace

Test(model_engine, streams_every_token_and_the_end)
{
    model_engine engine(quickEngine());
    auto exchange = exchangeWith(engine.host().address());
    const std::string body = R"({"stream":true,"max_tokens":5,"messages":[]})";
    const auto answer = exchange.send("POST", path, body);
    cr_assert_eq(answer.status, 200);
    for (std::uint32_t number = 0; number < 5; ++number)
        cr_assert(answer.body.find(model_engine::tokenText(number)) != std::string::npos);
    cr_assert(answer.body.find(model_engine::tokenText(5)) == std::string::npos);
    cr_assert(answer.body.ends_with("data: [DONE]\n\n"));
    cr_assert(answer.body.find(model_engine::answerId(body)) != std::string::npos);
}

Test(model_engine, whole_answer_has_the_same_tokens)
{
    model_engine engine(quickEngine());
    auto exchange = exchangeWith(engine.host().address());
    const auto answer = exchange.send("POST", "/v1/completions", R"({"max_tokens":2})");
    cr_assert(json::parse(answer.body).at("choices").at(0).at("text") == "token0 token1 ");
}

Test(model_engine, marked_request_crashes_it_and_a_restart_changes_its_boot_id)
{
    model_engine engine(quickEngine());
    const auto before = health(engine, "boot_id");
    engine.host().setFaults({ .crashMarker = "poison" });
    auto exchange = exchangeWith(engine.host().address());
    cr_assert(exchange.send("POST", path, R"({"prompt":"poison"})").outcome == exchange_outcome::ReplyLost);
    cr_assert(exchange.send("GET", "/health").outcome == exchange_outcome::NotConnected);
    engine.host().restart();
    cr_assert(health(engine, "boot_id") != before);
    cr_assert_eq(engine.host().crashes(), 1);
}

Test(model_engine, crash_cuts_streams_short)
{
    auto options = quickEngine();
    options.firstToken = 0ms;
    options.betweenTokens = 1h;
    model_engine engine(options);
    http_answer answer;
    std::thread caller([&] {
        auto exchange = exchangeWith(engine.host().address());
        answer = exchange.send("POST", path, R"({"stream":true})");
    });
    while (engine.host().running() == 0)
        std::this_thread::yield();
    engine.host().crash();
    caller.join();
    cr_assert(answer.outcome == exchange_outcome::ReplyLost || !answer.body.ends_with("data: [DONE]\n\n"));
}

Test(model_engine, cold_engine_falls_over_under_more_than_it_bears)
{
    auto options = quickEngine();
    options.host.coldCapacity = 1;
    options.host.warmAfter = 2;
    options.firstToken = 1h;
    model_engine engine(options);
    std::thread first([&] { exchangeWith(engine.host().address()).send("POST", path, "{}"); });
    while (engine.host().running() == 0)
        std::this_thread::yield();
    const auto second = exchangeWith(engine.host().address()).send("POST", path, "{}");
    first.join();
    cr_assert(second.outcome == exchange_outcome::ReplyLost);
    cr_assert_eq(engine.host().crashes(), 1);
}

Test(model_engine, completions_make_it_warm_until_it_turns_cold)
{
    auto options = quickEngine();
    options.host.coldCapacity = 0;
    options.host.warmAfter = 1;
    model_engine cold(options);
    cr_assert(exchangeWith(cold.host().address()).send("POST", path, "{}").outcome == exchange_outcome::ReplyLost);

    options.host.coldCapacity = 1;
    model_engine engine(options);
    auto exchange = exchangeWith(engine.host().address());
    cr_assert_eq(exchange.send("POST", path, "{}").status, 200);
    cr_assert(engine.host().warm());
    engine.host().turnCold();
    cr_assert(!engine.host().warm());
}

Test(model_engine, warm_engine_refuses_what_exceeds_its_capacity)
{
    auto options = quickEngine();
    options.host.capacity = 0;
    model_engine engine(options);
    cr_assert_eq(exchangeWith(engine.host().address()).send("POST", path, "{}").status, 503);
    cr_assert_eq(engine.host().crashes(), 0);
}

Test(model_engine, faults_change_over_http)
{
    model_engine engine(quickEngine());
    auto control = exchangeWith("127.0.0.1:" + std::to_string(engine.host().controlPort()));
    cr_assert_eq(control.send("POST", "/faults", R"({"unhealthy":true,"drop_before_work":1})").status, 200);
    cr_assert(health(engine, "healthy") == "false");
    auto exchange = exchangeWith(engine.host().address());
    cr_assert(exchange.send("POST", path, "{}").outcome == exchange_outcome::ReplyLost);
    cr_assert_eq(exchange.send("POST", path, "{}").status, 200);
    cr_assert_eq(control.send("POST", "/faults", "no json").status, 400);
}
