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
    // Serves callers through agents.
    Entry,
    // Stands beside one endpoint and is the gate to it.
    Agent,
    // Serves callers and sends to endpoints itself.
    DirectEntry,
    // Stands beside one engine of a direct entry's fleet: reports its load and gives its orders.
    DirectAgent,
};

enum class endpoint_kind {
    ModelEngine,
    PlainService,
};

// What an agent says of the endpoint beside it.
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
    // Present if the sender is an agent.
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

// Entry to agent: how much work the entry would like to place. It also acknowledges grants: after it, no attempt that
// rests on an older grant comes on this link.
struct slot_demand {
    static constexpr const char* name = "slot_demand";
    // Requests that wait for a slot, without those that run.
    std::uint32_t waiting = 0;
    // Idle slots that the entry would like to hold for requests to come.
    std::uint32_t spare = 0;
    // Sequence of the newest grant that the entry has received.
    std::uint64_t grantSequence = 0;
};

// Agent to entry: requests that the entry may have in flight at this endpoint. Replaces the grant before it.
struct slot_grant {
    static constexpr const char* name = "slot_grant";
    std::uint64_t sequence = 0;
    std::uint32_t slots = 0;
    // Counted from the receipt by the entry's clock and from the sending by the agent's.
    duration lifetime {};
    bool cold = false;
    // Expected time until a new request's first byte.
    duration expectedWait {};
};

// Entry to agent: run this request once.
struct start_attempt {
    static constexpr const char* name = "start_attempt";
    attempt_id attempt;
    service_request request;
    // True if the content may have crashed an endpoint: it runs alone.
    bool suspect = false;
    // The agent's life that it is meant for: no other may run it.
    incarnation agentLife = 0;
};

struct cancel_attempt {
    static constexpr const char* name = "cancel_attempt";
    attempt_id attempt;
};

// Entry to agent: send the answer's frames again, from this one on.
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
    // Another attempt with this key has started here.
    KeyUsed,
    // This key stands for a request with other content.
    KeyReused,
    // The issued key is past its expiry, never started, and never will.
    KeyExpired,
    // The agent granted no such key.
    KeyInvalid,
};

// Agent to entry: the attempt was not started and never will be.
struct attempt_refused {
    static constexpr const char* name = "attempt_refused";
    attempt_id attempt;
    refusal reason = refusal::NoSlot;
    duration retryAfter {};
    // For KeyUsed: the attempt that started.
    std::optional<attempt_id> earlier;
};

// Frame 0 of an answer.
struct response_head {
    static constexpr const char* name = "response_head";
    attempt_id attempt;
    std::uint16_t status = 0;
    std::vector<http_header> headers;
};

// Frames 1 to n of an answer.
struct response_body {
    static constexpr const char* name = "response_body";
    attempt_id attempt;
    std::uint64_t frame = 0;
    std::string data;
};

// After the last frame: what a whole answer consists of.
struct response_end {
    static constexpr const char* name = "response_end";
    attempt_id attempt;
    // Frames with the head.
    std::uint64_t frames = 0;
    // XXH64 over the concatenated body.
    std::uint64_t checksum = 0;
};

enum class failure_cause {
    // The endpoint closed the connection or could not be reached any more.
    EndpointCrashed,
    EndpointTimeout,
    Cancelled,
    AgentForgot,
    // The endpoint refused the request because of its load and began nothing.
    LoadRefused,
};

// Agent to entry: the attempt was started and will yield no whole answer.
struct attempt_failed {
    static constexpr const char* name = "attempt_failed";
    attempt_id attempt;
    failure_cause cause = failure_cause::EndpointCrashed;
    // NotRun only if the endpoint is known to have begun nothing; Completed if only the answer is no longer kept.
    execution outcome = execution::Unknown;
};

// Entry to agent: what became of this attempt? An agent that did not start it records a tombstone first.
struct query_attempt {
    static constexpr const char* name = "query_attempt";
    attempt_id attempt;
    incarnation agentLife = 0;
};

enum class attempt_state {
    // A tombstone stands: the attempt can never start here.
    NeverStarted,
    Running,
    Completed,
    Failed,
    // Past the agent's memory, or of another life: it may have run.
    Forgotten,
};

struct attempt_report {
    static constexpr const char* name = "attempt_report";
    attempt_id attempt;
    attempt_state state = attempt_state::NeverStarted;
};

// Entry to agent: grant numbers for issued keys.
struct request_key_block {
    static constexpr const char* name = "request_key_block";
    std::uint32_t count = 0;
};

// Agent to entry: keys numbered first to first + count - 1 name this agent's incarnation until they expire.
struct grant_key_block {
    static constexpr const char* name = "grant_key_block";
    std::uint64_t first = 0;
    std::uint32_t count = 0;
    duration lifetime {};
    // When the block expires, by the agent's clock: part of each key's text.
    instant expires;
};

// Changes in ascending order without a gap, or a whole document where the receiver is too far behind.
struct configuration_news {
    static constexpr const char* name = "configuration_news";
    std::vector<accepted_change> changes;
    std::optional<fleet_configuration> document;
    // The inquiry that this answers; zero if it answers none.
    std::uint64_t inquiry = 0;
};

struct configuration_request {
    static constexpr const char* name = "configuration_request";
    configuration_version have = 0;
    // If not zero, the answer is wanted even if there is nothing newer.
    std::uint64_t inquiry = 0;
};

// How sure it is that a request's content crashes the endpoints that run it. Higher replaces lower.
enum class suspicion {
    // It was running when an endpoint crashed: it may run alone.
    Suspected,
    // It completed alone.
    Cleared,
    // An endpoint crashed while it ran alone: it is refused.
    Convicted,
};

// What is known of one content. A higher round replaces a lower one; within a round, higher suspicion replaces lower.
struct suspect_record {
    std::uint64_t contentHash = 0;
    std::uint64_t round = 0;
    suspicion level = suspicion::Suspected;
};

// In both directions: contents whose records have risen.
struct suspect_news {
    static constexpr const char* name = "suspect_news";
    std::vector<suspect_record> records;
};

using link_message = std::variant<hello, heartbeat, heartbeat_ack, slot_demand, slot_grant, start_attempt,
    cancel_attempt, resume_attempt, attempt_refused, response_head, response_body, response_end, attempt_failed,
    query_attempt, attempt_report, request_key_block, grant_key_block, configuration_news, configuration_request,
    suspect_news>;

// What travels on a link: every message carries its sender's incarnation and configuration version.
struct link_envelope {
    incarnation sender = 0;
    configuration_version configuration = 0;
    link_message message;
};

} // namespace appleramp
