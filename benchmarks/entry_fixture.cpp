#include "entry_fixture.h"

#include <xxhash.h>

#include <stdexcept>

namespace appleramp {

namespace {

constexpr auto service = "assistant";
constexpr auto path = "/v1/chat/completions";
constexpr std::uint64_t tokenFrames = 1;

entry_identity identity()
{
    entry_identity self;
    self.instance = instance_id("entry-1");
    self.zone = availability_zone_id("zone-a");
    self.life = 1;
    self.maxRequests = 1U << 24U;
    return self;
}

hello agentGreeting(std::uint64_t endpoint)
{
    const auto number = std::to_string(endpoint);
    hello greeting;
    greeting.instance = instance_id("agent-" + number);
    greeting.role = process_role::Agent;
    greeting.zone = availability_zone_id(endpoint % 2 == 0 ? "zone-a" : "zone-b");
    greeting.endpoint = endpoint_description { endpoint_id("endpoint-" + number), endpoint_kind::ModelEngine,
        { service_id(service) }, {} };
    return greeting;
}

} // namespace

service_request benchmarkRequest()
{
    service_request request;
    request.service = service_id(service);
    request.team = team_id("north-kitchens");
    request.method = "POST";
    request.path = path;
    request.headers = { { "Content-Type", "application/json" } };
    request.body = std::string(512, 'p');
    // Longer than the virtual time of any benchmark.
    request.timeout = std::chrono::hours(24 * 365);
    request.traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    return request;
}

accepted_change exceptionChange(configuration_version version)
{
    const auto number = std::to_string(version);
    return { version, "change-" + number,
        add_exception { { team_id("team-" + number), 8, "agreed with the kitchen in writing" } } };
}

entry_fixture::entry_fixture(std::uint64_t endpoints)
    : m_reducer(identity())
{
    const accepted_change policy { 1, "change-1", put_service { service_id(service), { { path }, 0 } } };
    for (std::uint64_t endpoint = 1; endpoint <= endpoints; ++endpoint)
        link(endpoint);
    receive(1, configuration_news { { policy }, std::nullopt });
}

entry_effects entry_fixture::apply(entry_event_body body)
{
    return m_reducer.apply({ m_now, std::move(body) });
}

entry_effects entry_fixture::receive(link_number link, link_message message)
{
    return apply(message_received { link, { link + 1, m_reducer.configuration().version, std::move(message) } });
}

void entry_fixture::link(std::uint64_t endpoint)
{
    apply(link_opened { endpoint, {} });
    receive(endpoint, agentGreeting(endpoint));
    grantSlots(endpoint, slotsPerEndpoint);
}

void entry_fixture::grantSlots(std::uint64_t endpoint, std::uint32_t slots)
{
    receive(endpoint, slot_grant { ++m_grantSequence, slots, std::chrono::hours(24), false, {} });
}

void entry_fixture::addExceptions(std::uint64_t count)
{
    const auto first = m_reducer.configuration().version + 1;
    for (auto version = first; version < first + count; ++version)
        receive(1, configuration_news { { exceptionChange(version) }, std::nullopt });
}

start_attempt entry_fixture::begin()
{
    for (auto& effect : apply(request_received { ++m_lastRequest, benchmarkRequest() })) {
        auto* sent = std::get_if<send_message>(&effect);
        if (!sent || !std::holds_alternative<start_attempt>(sent->envelope.message))
            continue;
        m_startedOn = sent->link;
        return std::get<start_attempt>(std::move(sent->envelope.message));
    }
    throw std::logic_error("the entry did not send the request to an agent");
}

void entry_fixture::begin(std::uint64_t requests)
{
    for (std::uint64_t i = 0; i < requests; ++i)
        begin();
}

void entry_fixture::finish(const start_attempt& started)
{
    static const std::string token = "data: {\"token\":1}\n\n";
    receive(m_startedOn, response_head { started.attempt, 200, { { "Content-Type", "text/event-stream" } } });
    receive(m_startedOn, response_body { started.attempt, 1, token });
    receive(m_startedOn, response_end { started.attempt, tokenFrames + 1, XXH64(token.data(), token.size(), 0) });
}

} // namespace appleramp
