#pragma once

#include "decisions/forwarding/event_splitter.h"
#include "decisions/forwarding/forwarding_effects.h"
#include "decisions/forwarding/forwarding_events.h"
#include "directentry/begun_stream.h"
#include "directentry/exchange_stage.h"
#include "http/client_connection.h"
#include "http/http_message.h"
#include "memory/memory_charge.h"
#include "model/time.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

class client_pool;
class memory_account;
class platform_adapter;
class server_connection;

// Dependencies of an exchange that its process provides.
struct exchange_services {
    const platform_adapter& platform;
    client_pool& endpoints;
    std::function<instant()> now;
    std::function<void(const forwarding_event&)> post;
    // Tells whether nothing listens at an endpoint's address any more.
    std::function<void(const std::string& address, std::function<void(bool refused)> done)> probe;
    std::shared_ptr<memory_account> memory;
    // Makes others give way until a holder that will have that size in all has room for these bytes more; false if it has none.
    std::function<bool(std::size_t bytes, std::size_t holderBytes)> makeRoom;
    // When an endpoint of each service last sent part of a response to this process.
    std::map<service_id, instant>& serviceProgress;
};

// One request of a caller, from its arrival to the end of its response, over all the attempts that the reducer starts.
//
// It executes the reducer's effects and reports what happens as events; every decision is the reducer's. Callbacks of
// its connections hold shared ownership, which keeps it alive while a connection is in use.
class caller_exchange : public std::enable_shared_from_this<caller_exchange> {
public:
    caller_exchange(exchange_services services, request_number number, std::shared_ptr<server_connection> caller, http_request request);
    ~caller_exchange();
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;

    // Memory that the exchange of such a request takes, without its answer.
    static std::size_t memoryOf(const http_request& request);

    // Posts request_arrived and begins to watch for the caller's disconnection.
    void start();
    void carryOut(const send_attempt& effect);
    void carryOut(const wait_for_service& effect);
    void refuse(const refuse_request& effect);
    void passFailureAnswer();
    void breakAnswer();
    void cancelAttempt();

    // Posts the events that are due: end of a wait for an endpoint, request deadline, silent attempt.
    void checkTime(instant now);
    bool isOver() const { return m_over; }
    const std::string& sendId() const { return m_caller.sendId; }
    exchange_stage stage() const;
    // Empty while the request is at no endpoint.
    endpoint_id endpoint() const { return m_endpoint ? m_attempt.endpoint : endpoint_id(); }
    duration age(instant now) const { return now - m_startedAt; }

private:
    enum class answer_mode {
        Undecided,
        // Held back until it is complete.
        Buffered,
        // Forwarded event by event.
        Streamed,
        // Read to its end but not forwarded.
        Discarded,
    };

    void onHead(http_response_head head);
    // The attempt ends so once the rest of the answer has been read.
    void discardAs(attempt_ending ending);
    // What came is no answer to this request.
    void rejectAnswer(response_defect defect);
    void onBody(const std::string& bytes);
    void onCompleted();
    // An answer without a length ends with its connection, as does the answer of an endpoint that dies: it is whole only if its
    // endpoint still listens.
    void verifyEnd();
    void concludeAnswer();
    void onFailed(exchange_failure failure);
    void holdBytes(const std::string& bytes);
    bool hasRoomToGrow(std::size_t bytes) const;
    void streamBytes(const std::string& bytes);
    void respondWithAnswer();
    // Drops what is held of the answer.
    void dropAnswer();
    // The endpoint sends more than an answer may have, or more than the process can hold.
    void rejectOversized();
    void endDiscarded();
    void endAttempt(attempt_ending ending, std::optional<duration> retryAfter = {}, bool connectionRefused = false);
    void answered();
    void finish();
    void updateCharge();
    void noteProgress();
    bool othersProgress(instant now) const;

    exchange_services m_services;
    request_number m_number;
    std::shared_ptr<server_connection> m_connection;
    http_request_head m_head;
    // Shared with the connections to endpoints.
    std::shared_ptr<const std::string> m_body;
    caller_request m_caller;
    // The request with its head twice, as it came and as it was read.
    std::size_t m_requestBytes = 0;
    memory_charge m_charge;
    instant m_startedAt;
    instant m_deadline = instant::max();
    // When to ask the reducer for an endpoint again.
    std::optional<instant> m_waitsUntil;

    send_attempt m_attempt;
    std::shared_ptr<client_connection> m_endpoint;
    // Incremented when an attempt starts or ends, so that callbacks of earlier attempts are ignored.
    std::uint64_t m_attemptNumber = 0;
    instant m_lastProgress;
    instant m_silenceReportedAt;
    // The attempt went over a connection that an earlier one had used.
    bool m_isConnectionKept = false;
    bool m_attemptHasAnswer = false;
    answer_mode m_mode = answer_mode::Undecided;
    attempt_ending m_discardedAs = attempt_ending::Rejected;
    response_defect m_defect = response_defect::None;
    std::size_t m_discardedBytes = 0;
    // The answer has no length.
    bool m_endsAtClose = false;
    bool m_isEndpointLeaving = false;
    std::optional<duration> m_retryAfter;
    http_response m_answer;
    event_splitter m_events;
    // Set once the caller has got the head of a stream.
    std::optional<begun_stream> m_begun;
    bool m_over = false;
};

} // namespace appleramp
