#pragma once

#include "decisions/forwarding/forwarding_events.h"
#include "decisions/groups/rank_state.h"
#include "http/http_message.h"
#include "model/endpoint_limit.h"
#include "model/endpoint_news.h"
#include "model/response_defect.h"
#include "model/routing.h"
#include "ports/row_store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace appleramp {

// A row that can't be decoded, and why.
struct unreadable_row {
    std::string key;
    std::string reason;
    // Version that an unreadable configuration names; zero if it names none.
    configuration_version version = 0;
};

// Operators have taken this availability zone out of service: no requests go to it while the row exists.
struct zone_out_row {
    availability_zone_id zone;
};

// A row that the load balancer does not use.
struct unrelated_row { };

using configuration_row = std::variant<routing_configuration, zone_out_row, unrelated_row, unreadable_row>;
using registry_row = std::variant<endpoint_record, unreadable_row>;

// What the head of a request to an endpoint carries.
struct endpoint_request {
    endpoint_id endpoint;
    team_id team;
    duration timeLeft {};
    std::uint32_t urgencyRank = 0;
    // Id of the last event that the caller has, if the request resumes a stream.
    std::optional<std::string> lastEventId;
};

enum class response_kind {
    // The endpoint executed the request, whatever the status.
    Executed,
    Rejected,
    WrongEndpoint,
    // The status tells callers that the request was not executed, while the endpoint does not state so: it may have been.
    UnprovenRefusal,
    // The response belongs to another request, or does not say to which.
    Unmatched,
    // The response lacks what an answer of an endpoint has, or says it in several ways.
    Unusable,
};

struct response_classification {
    response_kind kind = response_kind::Executed;
    // Why the response is not passed on, if it is neither that nor a refusal.
    response_defect defect = response_defect::None;
    // Set if the endpoint turned the request away and asks for a pause of this length.
    std::optional<duration> retryAfter;
    // The answer names the request that it belongs to. Refusals need not.
    bool namesRequest = false;
    // The endpoint that was addressed announces that it leaves.
    bool leaving = false;
    // What the endpoint that was addressed says of the requests that it takes.
    limit_statement limit;
};

// A caller's request for addresses of entries.
struct address_request {
    availability_zone_id zone;
};

// Load and group state of an engine, as read by its agent.
struct engine_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    double pace = 1.0;
    // As endpoint_record::startedAtMs.
    std::uint64_t startedAtMs = 0;
    // Name of the group that the engine is a rank of; empty if it is in none.
    std::string group;
    rank_state rank;
    // As endpoint_load::memoryUsed and memoryTotal.
    std::uint64_t memoryUsed = 0;
    std::uint64_t memoryTotal = 0;
};

// The experts of one rank by set, in the map in force and in the prepared map.
struct engine_expert_lists {
    group_epoch epoch = 0;
    group_map_version mapVersion = 0;
    std::vector<std::vector<expert_number>> experts;
    std::optional<group_map_version> preparedVersion;
    std::vector<std::vector<expert_number>> preparedExperts;
};

enum class order_outcome {
    Accepted,
    // Not executed, since it did not fit the engine's state.
    Refused,
    // Whether the engine executes it is unknown.
    Unknown,
};

// Translates between the load balancer and the platform that it runs on. Nothing outside the adapter knows the platform's
// names. It is pure: it holds no state that a decision depends on and does no I/O.
class platform_adapter {
public:
    platform_adapter() = default;
    virtual ~platform_adapter() = default;
    platform_adapter(const platform_adapter&) = delete;
    platform_adapter& operator=(const platform_adapter&) = delete;

    virtual std::string configurationTable() const = 0;
    virtual std::string registryTable() const = 0;
    virtual configuration_row readConfigurationRow(const store_row& row) const = 0;
    virtual registry_row readRegistryRow(const store_row& row) const = 0;

    virtual caller_request readCallerRequest(const http_request& request) const = 0;
    virtual http_request_head endpointRequestHead(const http_request_head& caller, const endpoint_request& request) const = 0;
    virtual response_classification classifyResponse(const http_response_head& answer, std::string_view sendId) const = 0;
    // The head of an endpoint's response as it is sent to the caller.
    virtual http_response_head callerResponseHead(http_response_head answer) const = 0;

    virtual std::optional<address_request> readAddressRequest(const http_request_head& request) const = 0;
    virtual std::string addressResponse(const std::vector<std::string>& addresses, duration validFor) const = 0;
    virtual bool isReadinessRequest(const http_request_head& request) const = 0;

    virtual http_request_head reportRequest(const std::string& address) const = 0;
    // Whether an engine announces in its answer that it leaves.
    virtual bool announcesLeaving(const http_response_head& answer) const = 0;
    // The limit that an engine names in its answer.
    virtual limit_statement namedLimit(const http_response_head& answer) const = 0;
    virtual std::optional<engine_report> readReport(std::string_view body) const = 0;
    virtual http_request_head expertListsRequest(const std::string& address) const = 0;
    virtual std::optional<engine_expert_lists> readExpertLists(std::string_view body) const = 0;
    // Cumulative counts of how often each expert was chosen, by set and expert.
    virtual http_request_head expertCountsRequest(const std::string& address) const = 0;
    virtual std::vector<std::uint32_t> readExpertCounts(std::string_view body) const = 0;
    virtual http_request orderRequest(const std::string& address, const rank_order& order) const = 0;
    virtual order_outcome classifyOrderStatus(unsigned status) const = 0;
};

} // namespace appleramp
