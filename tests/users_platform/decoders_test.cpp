#include "platform/configuration_decoder.h"
#include "platform/engine_codec.h"
#include "platform/registry_decoder.h"
#include "platform/users_platform.h"
#include "samples.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace appleramp;
using namespace appleramp::users_platform;
using namespace std::chrono_literals;

namespace {

// Levels of a nested document that a recursive reader has no stack for.
constexpr std::size_t oddDepth = 300'000;

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    cr_assert(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

Test(configuration_decoder, a_configuration_is_read_whole)
{
    const auto decoded = std::get<routing_configuration>(decodeConfigurationRow({ "config", samples::configuration, 1, false }));
    cr_assert_eq(decoded.version, 7);
    cr_assert_eq(decoded.routes.size(), 3);
    const route& stream = decoded.routes[0];
    cr_assert(stream.kind == route_kind::Stream && stream.resumable);
    cr_assert_eq(stream.host, "ficu95.example");
    cr_assert_eq(stream.services.size(), 2);
    cr_assert_eq(stream.services[0].weight, 90);
    cr_assert(stream.pauseTarget == duration(120ms));
    cr_assert(decoded.routes[1].kind == route_kind::NonRepeatable && decoded.routes[1].isPublic);
    cr_assert(decoded.routes[2].kind == route_kind::Idempotent);
    cr_assert_eq(decoded.routes[2].maxAttempts, 1);
    cr_assert_eq(decoded.services[0].experts->placesPerRank, 5);
    cr_assert_float_eq(decoded.services[0].coldRequestsPerSecond.value(), 28, 1e-9);
    cr_assert_not(decoded.services[1].coldRequestsPerSecond.has_value());
    cr_assert(!decoded.services[1].experts);
    cr_assert_eq(decoded.teams->at(0).apiKeys[1], "anfq");
    cr_assert(decoded.limits.idleTimeout == duration(15s));
}

// A weight that is a fraction was read as the default, which split the requests evenly.
Test(configuration_decoder, weights_may_be_fractions)
{
    const auto text = replaced(replaced(samples::configuration, "\"weight\":90", "\"weight\":0.9"), "\"weight\":10", "\"weight\":0.1");
    const auto decoded = std::get<routing_configuration>(decodeConfigurationRow({ "config", text, 1, false }));
    cr_assert_float_eq(decoded.routes[0].services[0].weight, 0.9, 1e-9);
    cr_assert_float_eq(decoded.routes[0].services[1].weight, 0.1, 1e-9);
}

// A rate of zero was read as no limit, so that a cold engine got all that callers sent.
Test(configuration_decoder, engines_that_start_cold_are_limited_whatever_rate_is_stated)
{
    for (const char* const rate : { "0.0", "0", "null", "\"28\"", "-1" }) {
        const auto text = replaced(samples::configuration, "\"cold_per_s\":28.0", std::string("\"cold_per_s\":") + rate);
        const auto decoded = std::get<routing_configuration>(decodeConfigurationRow({ "config", text, 1, false }));
        cr_assert(decoded.services[0].coldRequestsPerSecond == 0.0, "%s", rate);
    }
    const auto text = replaced(samples::configuration, "\"cold_start_s\":3.0", "\"cold_start_s\":\"3.0\"");
    const auto decoded = std::get<routing_configuration>(decodeConfigurationRow({ "config", text, 1, false }));
    cr_assert(decoded.services[0].coldRequestsPerSecond == 28.0);
}

Test(configuration_decoder, a_kind_that_is_not_known_is_not_repeatable)
{
    const auto text = replaced(samples::configuration, "\"safe\"", "\"unheard\"");
    const auto decoded = std::get<routing_configuration>(decodeConfigurationRow({ "config", text, 1, false }));
    cr_assert(!decoded.routes[2].repeatable());
}

Test(configuration_decoder, a_zone_that_is_to_be_emptied_is_named_by_its_key)
{
    const auto row = decodeConfigurationRow({ "evacuate/taichung", "{}", 1, false });
    cr_assert_eq(std::get<zone_out_row>(row).zone.str(), "taichung");
    cr_assert(std::holds_alternative<unrelated_row>(decodeConfigurationRow({ "notes", "x", 1, false })));
}

Test(configuration_decoder, what_can_not_be_read_is_said_to_be_so)
{
    cr_assert(std::holds_alternative<unreadable_row>(decodeConfigurationRow({ "config", "{", 1, false })));
    const auto text = replaced(samples::configuration, "\"version\":7", "\"version\":\"7\"");
    cr_assert(std::holds_alternative<unreadable_row>(decodeConfigurationRow({ "config", text, 1, false })));
}

Test(registry_decoder, an_engine_is_named_by_its_key)
{
    const auto record = std::get<endpoint_record>(decodeRegistryRow({ "i-1", samples::registryRow, 1, false }));
    cr_assert_eq(record.id.str(), "i-1");
    cr_assert_eq(record.address, "10.128.0.9:8080");
    cr_assert_eq(record.slots, 12);
    cr_assert(!record.leaving);
    const auto leaving = replaced(samples::registryRow, "ready", "draining");
    cr_assert(std::get<endpoint_record>(decodeRegistryRow({ "i-1", leaving, 1, false })).leaving);
}

// The registry also holds rows of other writers; they must not become endpoints.
Test(registry_decoder, a_row_of_another_writer_names_no_engine)
{
    for (const std::string& text : { replaced(samples::registryRow, "\"ready\"", "\"resting\""),
             replaced(samples::registryRow, "\"slots\":12", "\"slots\":\"12\""),
             replaced(samples::registryRow, "\"zone\":\"taichung\",", ""), std::string("\xff\x00", 2), std::string("[]") })
        cr_assert(std::holds_alternative<unreadable_row>(decodeRegistryRow({ "i-1", text, 1, false })));
}

// Guards against one odd row of another writer that ends the processes which read the registry, or that they take for an engine
// (processes that end by themselves, LOST).
Test(registry_decoder, an_odd_row_of_another_writer_names_no_engine)
{
    const std::string nested = std::string(oddDepth, '[') + std::string(oddDepth, ']');
    for (const std::string& text : { nested, std::string(oddDepth, '['), R"({"a":)" + nested + "}",
             replaced(samples::registryRow, "\"models\":[", "\"models\":[" + nested + ","),
             replaced(samples::registryRow, "\"slots\":12", "\"slots\":" + nested),
             replaced(samples::registryRow, "\"slots\":12", "\"slots\":0"),
             replaced(samples::registryRow, "\"slots\":12", "\"slots\":-1"),
             replaced(samples::registryRow, "\"slots\":12", "\"slots\":1.5"),
             replaced(samples::registryRow, "\"slots\":12", "\"slots\":4294967296"),
             replaced(samples::registryRow, "\"slots\":12", "\"slots\":4294967295"),
             replaced(samples::registryRow, "\"slots\":12", "\"slots\":1e400"),
             replaced(samples::registryRow, ":8080", ":99999"), replaced(samples::registryRow, ":8080", ":0"),
             replaced(samples::registryRow, ":8080", ":-1"), replaced(samples::registryRow, ":8080", ":8080x"),
             replaced(samples::registryRow, ":8080", ":"), replaced(samples::registryRow, ":8080", ""),
             replaced(samples::registryRow, "10.128.0.9", "10.128.0.999"), replaced(samples::registryRow, "10.128.0.9", "engine"),
             replaced(samples::registryRow, "10.128.0.9", "") })
        cr_assert(std::holds_alternative<unreadable_row>(decodeRegistryRow({ "i-1", text, 1, false })), "%.120s", text.c_str());
}

// A time that no engine can mean is cut, so that sums of it and the present do not overflow.
Test(registry_decoder, an_odd_time_is_cut)
{
    for (const char* time : { "-1e308", "-5", "\"soon\"", "1e308", "1e19", "18446744073709551615" }) {
        const std::string text = replaced(samples::registryRow, "\"cold_left_ms\":0", std::string("\"cold_left_ms\":") + time);
        const auto record = std::get<endpoint_record>(decodeRegistryRow({ "i-1", text, 1, false }));
        cr_assert(record.coldFor >= duration::zero() && record.coldFor <= duration(1h), "%s", time);
    }
}

// As an_odd_row_of_another_writer_names_no_engine, for the operator's table.
Test(configuration_decoder, a_deeply_nested_configuration_is_refused)
{
    const std::string nested = std::string(oddDepth, '[') + std::string(oddDepth, ']');
    for (const std::string& text : { replaced(samples::configuration, "\"routes\":[", "\"routes\":[" + nested + ","),
             replaced(samples::configuration, "\"services\":[", "\"services\":[" + nested + ","),
             replaced(samples::configuration, "\"api_keys\":[", "\"api_keys\":[" + nested + ","),
             replaced(samples::configuration, "\"limits\":{", "\"limits\":{\"a\":" + nested + ","),
             replaced(samples::configuration, "\"slots\":12", "\"usual\":{\"a\":" + nested + "}") })
        cr_assert(std::holds_alternative<unreadable_row>(decodeConfigurationRow({ "config", text, 1, false })));
}

Test(engine_codec, a_report_is_read)
{
    const auto report = decodeReport(samples::report).value();
    cr_assert_eq(report.group, "g0-0");
    cr_assert_eq(report.running, 6);
    cr_assert_eq(report.rank.rank, 3);
    cr_assert_eq(report.rank.ranks, 16);
    cr_assert_eq(report.rank.epoch, 2);
    cr_assert_eq(report.rank.pass, 42);
    cr_assert_eq(report.rank.mapVersion, 8);
    cr_assert_eq(report.rank.preparedVersion.value(), 9);
    cr_assert_eq(report.rank.armedVersion.value(), 9);
    cr_assert_eq(report.rank.armedPass.value(), 50);
    cr_assert_eq(report.rank.heldPass.value(), 50);
    cr_assert_eq(report.rank.orderCount, 5);
}

Test(engine_codec, lists_are_read_with_and_without_a_prepared_map)
{
    const auto lists = decodeExpertLists(samples::lists).value();
    cr_assert_eq(lists.experts[1][1], 17);
    cr_assert_eq(lists.preparedVersion.value(), 5);
    const auto none = decodeExpertLists(R"({"epoch":1,"map":{"version":0,"experts":[[0]]},"prepared":null})").value();
    cr_assert(!none.preparedVersion);
    cr_assert(!decodeExpertLists("{}").has_value());
}

Test(engine_codec, an_order_carries_epoch_and_expected_count)
{
    const rank_order order { .kind = rank_order_kind::Arm, .epoch = 2, .expectedOrderCount = 5, .version = 9, .pass = 50 };
    const auto body = nlohmann::json::parse(encodeOrder("10.0.0.1:1", order).body);
    cr_assert_eq(body.at("op").get<std::string>(), "arm");
    cr_assert_eq(body.at("epoch").get<int>(), 2);
    cr_assert_eq(body.at("precondition").get<int>(), 5);
    cr_assert_eq(body.at("step").get<int>(), 50);
    cr_assert(decodeOrderStatus(202) == order_outcome::Accepted);
    cr_assert(decodeOrderStatus(409) == order_outcome::Refused);
    cr_assert(decodeOrderStatus(503) == order_outcome::Unknown);
}

Test(users_platform, callers_ask_for_addresses)
{
    const platform adapter;
    http_request_head question;
    question.method = "GET";
    question.target = "/v1/resolve?name=a.example&region=r&zone=rdm-a";
    cr_assert_eq(adapter.readAddressRequest(question)->zone.str(), "rdm-a");
    question.target = "/v1/other";
    cr_assert(!adapter.readAddressRequest(question));
    const auto answer = nlohmann::json::parse(adapter.addressResponse({ "10.0.0.1:1", "10.0.0.2:1" }, 2s));
    cr_assert_eq(answer.at("addresses").size(), 2);
    cr_assert_eq(answer.at("ttl_s").get<int>(), 2);
}

// Guards against figures that engines publish being taken for others, and against ones of another type.
Test(configuration_decoder, engine_figures_are_read)
{
    const auto figures = [](const std::string& engine) {
        const store_row row { .key = "config", .value = R"({"version":1,"services":[{"name":"m","engine":)" + engine + "}]}" };
        return *std::get<routing_configuration>(decodeConfigurationRow(row)).services.at(0).engine;
    };
    const engine_speed speed = figures(R"({"step_ms":4.84,"context_per_k":0.02,"pairs_per_m":0.5,"kv_capacity_tokens":411666,"usual":{"prompt":714.3,"answer":95}})");
    cr_assert_float_eq(speed.contextMillisecondsPerThousand, 0.02, 1e-9);
    cr_assert_float_eq(speed.pairMillisecondsPerMillion, 0.5, 1e-9);
    cr_assert(speed.memoryTokens == 411'666 && speed.usualPromptTokens == 714 && speed.usualAnswerTokens == 95);
    const engine_speed odd = figures(R"({"kv_capacity_tokens":"many","usual":[1],"pairs_per_m":null})");
    cr_assert(odd.memoryTokens == 0 && odd.usualPromptTokens == 0 && odd.pairMillisecondsPerMillion == 0);
    cr_assert_eq(figures(R"({"usual":{"prompt":-4,"answer":1e300}})").usualPromptTokens, 0);
}

// Guards against reports without memory figures being refused, as engines of another version send them.
Test(engine_codec, memory_of_an_engine_is_read)
{
    const auto report = decodeReport(R"({"num_running":2,"kv_used":1200,"kv_total":233333})").value();
    cr_assert(report.memoryUsed == 1200 && report.memoryTotal == 233'333);
    cr_assert_eq(decodeReport(samples::report)->memoryTotal, 0);
}
