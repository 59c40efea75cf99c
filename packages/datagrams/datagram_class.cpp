#include "datagrams/datagram_class.h"

namespace appleramp {

namespace {

struct group_classifier {
    datagram_class operator()(const coordinator_heartbeat&) const { return { datagram_priority::Status, "heartbeat" }; }
    datagram_class operator()(const rank_status&) const { return { datagram_priority::Status, "status" }; }
    // Each report holds the choices since the one before, so none replaces another.
    datagram_class operator()(const expert_choice_counts&) const { return { datagram_priority::Bulk, {} }; }
    datagram_class operator()(const map_proposal&) const { return { datagram_priority::Proposal, "map" }; }
    datagram_class operator()(const map_changes&) const { return { datagram_priority::Proposal, "map" }; }
    datagram_class operator()(const switch_request&) const { return { datagram_priority::Switch, {} }; }
    datagram_class operator()(const arm_readiness_request&) const { return { datagram_priority::Switch, {} }; }
    datagram_class operator()(const arm_readiness&) const { return { datagram_priority::Switch, {} }; }
    datagram_class operator()(const arm_permission&) const { return { datagram_priority::Switch, {} }; }
    datagram_class operator()(const switch_outcome&) const { return { datagram_priority::Switch, {} }; }
    datagram_class operator()(const status_query&) const { return { datagram_priority::Switch, {} }; }
    datagram_class operator()(const status_request&) const { return { datagram_priority::Switch, {} }; }
};

struct classifier {
    datagram_class operator()(const entry_presence&) const { return { datagram_priority::Status, "presence" }; }
    datagram_class operator()(const zone_presence&) const { return { datagram_priority::Status, {} }; }
    datagram_class operator()(const endpoint_load&) const { return { datagram_priority::Bulk, "load" }; }
    datagram_class operator()(const endpoint_death&) const { return { datagram_priority::Switch, {} }; }
    datagram_class operator()(const load_subscription&) const { return { datagram_priority::Status, "subscription" }; }
    datagram_class operator()(const crash_records&) const { return { datagram_priority::Switch, {} }; }
    datagram_class operator()(const endpoint_limit_records&) const { return { datagram_priority::Switch, {} }; }
    datagram_class operator()(const permit_question&) const { return { datagram_priority::Switch, {} }; }
    datagram_class operator()(const permit_answer&) const { return { datagram_priority::Switch, {} }; }
    datagram_class operator()(const demand_report&) const { return { datagram_priority::Status, {} }; }
    datagram_class operator()(const group_datagram& message) const { return std::visit(group_classifier {}, message.message); }
    // The sender classifies the message inside, which it has decoded.
    datagram_class operator()(const relay_request&) const { return { datagram_priority::Bulk, {} }; }
    datagram_class operator()(const freshness_question&) const { return { datagram_priority::Status, "question" }; }
    datagram_class operator()(const freshness_answer&) const { return { datagram_priority::Status, {} }; }
    datagram_class operator()(const store_notice&) const { return { datagram_priority::Switch, {} }; }
};

} // namespace

datagram_class classOf(const datagram_message& message) { return std::visit(classifier {}, message); }

} // namespace appleramp
