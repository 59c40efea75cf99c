#pragma once

#include "decisions/forwarding/event_splitter.h"
#include "decisions/forwarding/forwarding_effects.h"
#include "decisions/forwarding/forwarding_events.h"
#include "http/client_connection.h"
#include "http/http_message.h"
#include "model/time.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace appleramp {

class client_pool;
class platform_adapter;
class server_connection;

// What an exchange needs of the process that it belongs to.
struct exchange_services {
    const platform_adapter& platform;
    client_pool& endpoints;
    std::function<instant()> now;
    std::function<void(const forwarding_event&)> post;
    // When any endpoint of a service last sent something.
    std::map<service_id, instant>& serviceProgress;
};

// One request of a caller, from its arrival to the end of its answer, over as many attempts as the reducer orders.
//
// It carries out effects and reports what happens as events; it decides nothing. It owns itself while a connection is
// in use.
class caller_exchange : public std::enable_shared_from_this<caller_exchange> {
public:
    caller_exchange(exchange_services services, request_number number, std::shared_ptr<server_connection> caller, http_request request);

    // Posts the arrival.
    void start();
    void carryOut(const send_attempt& effect);
    void carryOut(const wait_for_service& effect);
    void refuse(const refuse_request& effect);
    void passFailureAnswer();
    void breakAnswer();
    void cancelAttempt();

    // Looks for silence and for the end of the time.
    void checkTime(instant now);
    bool isOver() const { return m_over; }
    const std::string& sendId() const { return m_caller.sendId; }

private:
    enum class answer_mode {
        Undecided,
        // Kept until it is whole.
        Buffered,
        // Passed on event by event.
        Streamed,
        // Read and thrown away.
        Discarded,
    };

    void onHead(http_response_head head);
    void onBody(const std::string& bytes);
    void onCompleted();
    void onFailed(exchange_failure failure);
    void streamBytes(const std::string& bytes);
    void endAttempt(attempt_ending ending, std::optional<duration> retryAfter = {});
    void answered();
    void finish();
    void noteProgress();
    bool othersProgress(instant now) const;

    exchange_services m_services;
    request_number m_number;
    std::shared_ptr<server_connection> m_connection;
    http_request m_request;
    caller_request m_caller;
    instant m_deadline = instant::max();
    // When to ask again for an endpoint.
    std::optional<instant> m_waitsUntil;

    send_attempt m_attempt;
    std::shared_ptr<client_connection> m_endpoint;
    // Tells the callbacks of one attempt from those of an earlier one.
    std::uint64_t m_attemptNumber = 0;
    instant m_lastProgress;
    bool m_attemptHasAnswer = false;
    answer_mode m_mode = answer_mode::Undecided;
    attempt_ending m_discardedAs = attempt_ending::Rejected;
    std::optional<duration> m_retryAfter;
    http_response m_answer;
    event_splitter m_events;
    bool m_begun = false;
    bool m_over = false;
};

} // namespace appleramp
