#pragma once

// JSON conversions of requests, configuration and link messages, for this package's .cpp files.

#include "model/messages.h"
#include "wire/json_basics.h"

namespace appleramp {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_id, entry, number)

// Header values, paths and bodies from callers and endpoints need not be Unicode: bytesToJson keeps their bytes.
inline void to_json(nlohmann::json& document, const http_header& header)
{
    document = nlohmann::json { { "name", header.name }, { "value", bytesToJson(header.value) } };
}

inline void from_json(const nlohmann::json& document, http_header& header)
{
    document.at("name").get_to(header.name);
    header.value = bytesFromJson(document.at("value"));
}

inline void to_json(nlohmann::json& document, const service_request& request)
{
    document = nlohmann::json { { "service", request.service }, { "team", request.team },
        { "urgency", request.urgency }, { "repeatable", request.repeatable }, { "key", request.key },
        { "adapter", request.adapter }, { "method", request.method }, { "path", bytesToJson(request.path) },
        { "headers", request.headers }, { "body", bytesToJson(request.body) },
        { "contentHash", request.contentHash }, { "prefixHashes", request.prefixHashes },
        { "timeout", request.timeout }, { "traceparent", request.traceparent } };
}

inline void from_json(const nlohmann::json& document, service_request& request)
{
    document.at("service").get_to(request.service);
    document.at("team").get_to(request.team);
    document.at("urgency").get_to(request.urgency);
    document.at("repeatable").get_to(request.repeatable);
    document.at("key").get_to(request.key);
    document.at("adapter").get_to(request.adapter);
    document.at("method").get_to(request.method);
    request.path = bytesFromJson(document.at("path"));
    document.at("headers").get_to(request.headers);
    request.body = bytesFromJson(document.at("body"));
    document.at("contentHash").get_to(request.contentHash);
    document.at("prefixHashes").get_to(request.prefixHashes);
    document.at("timeout").get_to(request.timeout);
    document.at("traceparent").get_to(request.traceparent);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(service_policy, repeatableRoutes, teamLimit)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(fleet_defaults, teamLimit, maxRetries, retryBudgetPercent, maxQueueWait,
    requestTimeout, addressValidity, keyRetention)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(team_exception, team, teamLimit, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(set_defaults, defaults)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(put_service, service, policy)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(remove_service, service)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(add_exception, exception)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(remove_exception, team)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(take_zone_out, zone)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(take_zone_in, zone)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(take_instance_out, instance)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(take_instance_in, instance)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(accepted_change, version, changeId, change)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(fleet_configuration, version, defaults, services, exceptions, zonesOut, instancesOut)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(endpoint_description, endpoint, kind, services, adapters)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(hello, instance, role, zone, endpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(heartbeat, sequence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(heartbeat_ack, sequence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(slot_demand, waiting, spare, grantSequence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(slot_grant, sequence, slots, lifetime, cold, expectedWait)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(start_attempt, attempt, agentLife, request, suspect)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cancel_attempt, attempt)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(resume_attempt, attempt, nextFrame)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_refused, attempt, reason, retryAfter, earlier)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(response_head, attempt, status, headers)

inline void to_json(nlohmann::json& document, const response_body& body)
{
    document = nlohmann::json { { "attempt", body.attempt }, { "frame", body.frame }, { "data", bytesToJson(body.data) } };
}

inline void from_json(const nlohmann::json& document, response_body& body)
{
    document.at("attempt").get_to(body.attempt);
    document.at("frame").get_to(body.frame);
    body.data = bytesFromJson(document.at("data"));
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(response_end, attempt, frames, checksum)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_failed, attempt, cause, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(query_attempt, attempt, agentLife)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_report, attempt, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(request_key_block, count)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(grant_key_block, first, count, lifetime, expires)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(configuration_news, changes, document, inquiry)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(configuration_request, have, inquiry)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(suspect_record, contentHash, round, level)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(suspect_news, records)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(link_envelope, sender, configuration, message)

} // namespace appleramp
