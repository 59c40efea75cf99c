#pragma once

#include "decisions/groups/group_messages.h"
#include "model/crash_news.h"
#include "model/demand_report.h"
#include "model/endpoint_limit.h"
#include "model/endpoint_news.h"
#include "model/freshness_news.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace appleramp {

// What the sender knows of suspects under which endpoints died.
struct crash_records {
    std::vector<crash_record> records;
};

// What the sender knows of the limits that endpoints name.
struct endpoint_limit_records {
    std::vector<endpoint_limit_record> records;
};

// Carries a message between the agents of one group of model engines.
struct group_datagram {
    std::string group;
    group_message message;
};

// Asks the receiver to forward a message to further agents, so that a large message to many agents does not saturate the
// uplink of its sender.
struct relay_request {
    // Addresses to which the receiver forwards the message.
    std::vector<std::string> targets;
    // One encoded message, which the receiver also handles itself.
    std::string message;
};

// Messages that processes send each other as single datagrams.
using datagram_message = std::variant<entry_presence, zone_presence, endpoint_load, endpoint_death, load_subscription, crash_records, endpoint_limit_records, permit_question, permit_answer, demand_report, group_datagram, relay_request, freshness_question,
    freshness_answer, store_notice>;

} // namespace appleramp
