#pragma once

#include "model/configuration.h"
#include "model/identifiers.h"
#include "model/request.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace appleramp {

enum class process_role {
    // Accepts callers' requests and forwards them to agents.
    Entry,
    // Runs beside one endpoint and controls admission to it.
    Agent,
    // Accepts callers' requests and sends them to endpoints without an agent in between.
    DirectEntry,
    // Runs beside one engine in a fleet of direct entries: reports the engine's load and sends it its orders.
    DirectAgent,
};

enum class endpoint_kind {
    ModelEngine,
    PlainService,
};

// An agent's description of the endpoint that it runs beside.
struct endpoint_description {
    endpoint_id endpoint;
    endpoint_kind kind = endpoint_kind::PlainService;
    std::vector<service_id> services;
    std::vector<adapter_id> adapters;
};

// First message on a link, in both directions.
struct hello {
    static constexpr const char* name = "hello";
    instance_id instance;
    process_role role = process_role::Entry;
    availability_zone_id zone;
    // Set if the sender is an agent.
    std::optional<endpoint_description> endpoint;
};

struct heartbeat {
    static constexpr const char* name = "heartbeat";
    std::uint64_t sequence = 0;
};

struct heartbeat_ack {
    static constexpr const char* name = "heartbeat_ack";
    std::uint64_t sequence = 0;
};

// Entry to agent: the number of slots that the entry wants. It also acknowledges grants: after this message, the link
// carries no attempt that was admitted under a grant older than grantSequence.
struct slot_demand {
    static constexpr const char* name = "slot_demand";
    // Requests queued for a slot; running requests are not counted.
    std::uint32_t waiting = 0;
    // Idle slots that the entry wants to hold for future requests.
    std::uint32_t spare = 0;
    // Sequence number of the newest grant that the entry has received.
    std::uint64_t grantSequence = 0;
};

// Agent to entry: how many requests the entry may have in flight at this endpoint. Replaces the previous grant.
struct slot_grant {
    static constexpr const char* name = "slot_grant";
    std::uint64_t sequence = 0;
    std::uint32_t slots = 0;
    // The entry counts it from receipt, the agent from sending, each by its own clock.
    duration lifetime {};
    bool cold = false;
    // Expected time until the first byte of the response to a new request.
    duration expectedWait {};
};

// Entry to agent: runs this request at most once.
struct start_attempt {
    static constexpr const char* name = "start_attempt";
    attempt_id attempt;
    service_request request;
    // True if this content may have crashed an endpoint: no other request may run at the same time.
    bool suspect = false;
    // Incarnation of the agent that the attempt is sent to; any other incarnation must not run it.
    incarnation agentLife = 0;
};

struct cancel_attempt {
    static constexpr const char* name = "cancel_attempt";
    attempt_id attempt;
};

// Entry to agent: resends the frames of the response, starting with nextFrame.
struct resume_attempt {
    static constexpr const char* name = "resume_attempt";
    attempt_id attempt;
    std::uint64_t nextFrame = 0;
};

enum class refusal {
    NoSlot,
    Leaving,
    ZoneOut,
    Expired,
    Tombstone,
    NotServed,
    SuspectRefused,
    // Another attempt with this key has already started at this agent.
    KeyUsed,
    // The key was already used for a request with different content.
    KeyReused,
    // The issued key has expired; no request was started with it, and none will be.
    KeyExpired,
    // This agent never issued the key.
    KeyInvalid,
};

// Agent to entry: the attempt has not started and never will.
struct attempt_refused {
    static constexpr const char* name = "attempt_refused";
    attempt_id attempt;
    refusal reason = refusal::NoSlot;
    duration retryAfter {};
    // For KeyUsed: the attempt that has started.
    std::optional<attempt_id> earlier;
};

// Frame 0 of a response.
struct response_head {
    static constexpr const char* name = "response_head";
    attempt_id attempt;
    std::uint16_t status = 0;
    std::vector<http_header> headers;
};

// Frames 1 to n of a response.
struct response_body {
    static constexpr const char* name = "response_body";
    attempt_id attempt;
    std::uint64_t frame = 0;
    std::string data;
};

// Follows the last frame and lets the entry check that the response is complete.
struct response_end {
    static constexpr const char* name = "response_end";
    attempt_id attempt;
    // Number of frames, including the head.
    std::uint64_t frames = 0;
    // XXH64 of the concatenated body.
    std::uint64_t checksum = 0;
};

enum class failure_cause {
    // The endpoint closed the connection or became unreachable.
    EndpointCrashed,
    EndpointTimeout,
    Cancelled,
    AgentForgot,
    // The endpoint rejected the request because of its load and did not start it.
    LoadRefused,
};

// Agent to entry: the attempt has started and will not yield a complete response.
struct attempt_failed {
    static constexpr const char* name = "attempt_failed";
    attempt_id attempt;
    failure_cause cause = failure_cause::EndpointCrashed;
    // NotRun only if the endpoint certainly started nothing; Completed if the attempt completed but its response is no
    // longer stored.
    execution outcome = execution::Unknown;
};

// Entry to agent: asks for the state of an attempt. An agent that has not started it records a tombstone before it
// answers.
struct query_attempt {
    static constexpr const char* name = "query_attempt";
    attempt_id attempt;
    incarnation agentLife = 0;
};

enum class attempt_state {
    // The agent has recorded a tombstone: the attempt can never start there.
    NeverStarted,
    Running,
    Completed,
    Failed,
    // The agent no longer has a record, or the attempt was sent to another incarnation: it may have run.
    Forgotten,
};

struct attempt_report {
    static constexpr const char* name = "attempt_report";
    attempt_id attempt;
    attempt_state state = attempt_state::NeverStarted;
};

// Entry to agent: requests a block of numbers for issued keys.
struct request_key_block {
    static constexpr const char* name = "request_key_block";
    std::uint32_t count = 0;
};

// Agent to entry: the entry may issue the keys numbered first to first + count - 1, which are valid at this incarnation
// of the agent until they expire.
struct grant_key_block {
    static constexpr const char* name = "grant_key_block";
    std::uint64_t first = 0;
    std::uint32_t count = 0;
    duration lifetime {};
    // Expiry of the block by the agent's clock; part of each key's text.
    instant expires;
};

// Consecutive changes in ascending order, or the complete configuration if the receiver is too far behind.
struct configuration_news {
    static constexpr const char* name = "configuration_news";
    std::vector<accepted_change> changes;
    std::optional<fleet_configuration> document;
    // Number of the inquiry that this message answers; zero if it was sent unasked.
    std::uint64_t inquiry = 0;
};

struct configuration_request {
    static constexpr const char* name = "configuration_request";
    configuration_version have = 0;
    // If not zero, the receiver must answer even if it has no newer version.
    std::uint64_t inquiry = 0;
};

// Whether a request's content is believed to crash endpoints. A higher level replaces a lower one.
enum class suspicion {
    // It was running when an endpoint crashed: it may only run with no other request at the same time.
    Suspected,
    // It completed while it ran alone.
    Cleared,
    // An endpoint crashed while it ran alone: it is refused from now on.
    Convicted,
};

// Suspicion level of one content. A record of a higher round replaces one of a lower round; within a round, a higher
// level replaces a lower one.
struct suspect_record {
    std::uint64_t contentHash = 0;
    std::uint64_t round = 0;
    suspicion level = suspicion::Suspected;
};

// In both directions: records that have risen to a higher round or level.
struct suspect_news {
    static constexpr const char* name = "suspect_news";
    std::vector<suspect_record> records;
};

using link_message = std::variant<hello, heartbeat, heartbeat_ack, slot_demand, slot_grant, start_attempt,
    cancel_attempt, resume_attempt, attempt_refused, response_head, response_body, response_end, attempt_failed,
    query_attempt, attempt_report, request_key_block, grant_key_block, configuration_news, configuration_request,
    suspect_news>;

// Envelope of every message on a link, with the sender's incarnation and configuration version.
struct link_envelope {
    incarnation sender = 0;
    configuration_version configuration = 0;
    link_message message;
};

} // namespace appleramp
