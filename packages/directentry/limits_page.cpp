#include "directentry/limits_page.h"

#include <nlohmann/json.hpp>

namespace appleramp {

namespace {

using nlohmann::json;

std::int64_t milliseconds(duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time).count(); }

} // namespace

std::string limitsPage(instant now, std::span<const endpoint_limits::limit_view> limits, std::span<const restriction_view> restrictions, std::size_t entryCount)
{
    json list = json::array();
    for (const endpoint_limits::limit_view& each : limits) {
        json limit = { { "endpoint", each.record.endpoint.str() }, { "requests_per_second", each.record.requestsPerSecond }, { "over", each.record.isOver },
            { "known_for_ms", milliseconds(each.knownFor) }, { "age_ms", milliseconds(each.record.age) }, { "sends", each.sends }, { "passed_over", each.passedOver } };
        limit["next_turn_ms"] = each.nextSend ? json(milliseconds(*each.nextSend - now)) : json();
        list.push_back(std::move(limit));
    }
    json restricted = json::array();
    for (const auto& [endpoint, service, restriction] : restrictions) {
        json each = { { "endpoint", endpoint.str() }, { "service", service.str() }, { "reason", nameOf(restriction.reason) },
            { "since_ms", milliseconds(now - restriction.since) }, { "share", restriction.share } };
        each["until_ms"] = restriction.until ? json(milliseconds(*restriction.until - now)) : json();
        restricted.push_back(std::move(each));
    }
    return json { { "entries", entryCount }, { "limits", std::move(list) }, { "restrictions", std::move(restricted) } }.dump();
}

} // namespace appleramp
