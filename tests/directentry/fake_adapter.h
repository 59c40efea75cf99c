#pragma once

#include "ports/platform_adapter.h"

#include <sstream>
#include <string>

namespace appleramp::tests {

// Reads rows of two tables. A configuration is "VERSION KEY..."; a registry row is the address of an endpoint.
class fake_adapter : public platform_adapter {
public:
    std::string configurationTable() const override { return "op"; }
    std::string registryTable() const override { return "registry"; }
    configuration_row readConfigurationRow(const store_row& row) const override
    {
        if (row.removed)
            return unrelated_row {};
        routing_configuration configuration;
        std::istringstream text(row.value);
        text >> configuration.version;
        team caller { team_id("t1"), {}, {} };
        for (std::string key; text >> key;)
            caller.apiKeys.push_back(key);
        configuration.teams = std::vector<team> { caller };
        route read;
        read.name = "read";
        read.host = "a.example";
        read.prefix = "/read/";
        read.kind = route_kind::Idempotent;
        read.services = { { service_id("service"), 1 } };
        read.timeout = std::chrono::seconds(8);
        read.latencyTarget = std::chrono::milliseconds(500);
        configuration.routes = { read };
        return configuration;
    }
    registry_row readRegistryRow(const store_row& row) const override
    {
        return endpoint_record { endpoint_id(row.key), service_id("service"), row.value, availability_zone_id("a"), 1000, false, {} };
    }

    caller_request readCallerRequest(const http_request&) const override { return {}; }
    http_request_head endpointRequestHead(const http_request_head& caller, const endpoint_request&) const override { return caller; }
    response_classification classifyResponse(const http_response_head&, std::string_view) const override { return {}; }
    http_response_head callerResponseHead(http_response_head answer) const override { return answer; }
    std::optional<address_request> readAddressRequest(const http_request_head&) const override { return {}; }
    std::string addressResponse(const std::vector<std::string>&, duration) const override { return {}; }
    bool isReadinessRequest(const http_request_head&) const override { return false; }
    http_request_head reportRequest(const std::string&) const override { return {}; }
    bool announcesLeaving(const http_response_head&) const override { return false; }
    limit_statement namedLimit(const http_response_head&) const override { return {}; }
    std::optional<engine_report> readReport(std::string_view) const override { return {}; }
    http_request_head expertListsRequest(const std::string&) const override { return {}; }
    std::optional<engine_expert_lists> readExpertLists(std::string_view) const override { return {}; }
    http_request_head expertCountsRequest(const std::string&) const override { return {}; }
    std::vector<std::uint32_t> readExpertCounts(std::string_view) const override { return {}; }
    http_request orderRequest(const std::string&, const rank_order&) const override { return {}; }
    order_outcome classifyOrderStatus(unsigned) const override { return order_outcome::Unknown; }
};

} // namespace appleramp::tests
