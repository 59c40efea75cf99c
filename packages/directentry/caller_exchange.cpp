#include "directentry/caller_exchange.h"

#include "directentry/exchange_ending.h"
#include "directentry/refusal_answer.h"
#include "http/client_pool.h"
#include "http/server_connection.h"
#include "ports/platform_adapter.h"

#include <utility>

namespace appleramp {

namespace {

constexpr unsigned firstFailureStatus = 500;
// A service whose endpoints have all sent nothing for this long counts as stalled as a whole.
constexpr duration serviceSilence = std::chrono::milliseconds(300);
// Bodies behind a rejection are read, so that their connection can be used again, up to this size and for this long.
constexpr std::size_t maxDiscardedBytes = 16UL * 1024;
constexpr duration maxDiscardTime = std::chrono::milliseconds(250);
// Interval at which a silent attempt is reported again.
constexpr duration silenceReportInterval = std::chrono::milliseconds(200);
// Largest answer that is held back until it is complete.
constexpr std::size_t maxHeldAnswerBytes = 7UL * 1024 * 1024;
// Buffers and state of an exchange and of its connection to an endpoint.
constexpr std::size_t exchangeBytes = 12UL * 1024;
// Largest event of a stream.
constexpr std::size_t maxEventBytes = 1024UL * 1024;

} // namespace

caller_exchange::caller_exchange(
    exchange_services services, request_number number, std::shared_ptr<server_connection> caller, http_request request)
    : m_services(std::move(services))
    , m_number(number)
    , m_connection(std::move(caller))
    , m_caller(m_services.platform.readCallerRequest(request))
    , m_requestBytes(memoryOf(request))
    , m_charge(m_services.memory)
    , m_startedAt(m_services.now())
{
    m_head = std::move(request.head);
    m_body = std::make_shared<const std::string>(std::move(request.body));
    m_connection->identifyAnswer(m_caller.sendId);
    updateCharge();
}

caller_exchange::~caller_exchange() = default;

std::size_t caller_exchange::memoryOf(const http_request& request)
{
    return exchangeBytes + 2 * (request.head.target.size() + request.head.headers.heldBytes()) + request.body.size();
}

void caller_exchange::updateCharge()
{
    m_charge.resize(m_requestBytes + m_answer.body.size() + m_events.partialBytes());
}

void caller_exchange::dropAnswer()
{
    m_answer = {};
    updateCharge();
}

exchange_stage caller_exchange::stage() const
{
    if (m_begun)
        return exchange_stage::Begun;
    return m_endpoint ? exchange_stage::Sent : exchange_stage::Waiting;
}

void caller_exchange::start()
{
    m_connection->onPeerGone([self = shared_from_this()] {
        if (self->m_over)
            return;
        self->m_services.post(caller_disconnected { self->m_services.now(), self->m_number });
        self->finish();
    });
    m_services.post(request_arrived { m_services.now(), m_number, m_caller });
}

void caller_exchange::carryOut(const send_attempt& effect)
{
    const instant now = m_services.now();
    m_attempt = effect;
    m_waitsUntil.reset();
    m_deadline = now + effect.timeLeft;
    m_lastProgress = now;
    m_attemptHasAnswer = false;
    m_mode = answer_mode::Undecided;
    m_defect = response_defect::None;
    m_retryAfter.reset();
    m_discardedBytes = 0;
    dropAnswer();
    m_events.dropPartial();
    const endpoint_request order { effect.endpoint, effect.team, effect.timeLeft, effect.urgencyRank,
        m_begun ? m_events.lastEventId() : std::nullopt };
    std::string head = serializeRequestHead(m_services.platform.endpointRequestHead(m_head, order), m_body->size());
    m_endpoint = m_services.endpoints.acquire(effect.address, effect.requiresNewConnection);
    m_isConnectionKept = m_endpoint->wasUsed();
    const std::uint64_t number = ++m_attemptNumber;
    // Callbacks of a cancelled or ended attempt are ignored.
    const auto current = [self = shared_from_this(), number] { return self->m_attemptNumber == number && !self->m_over; };
    m_endpoint->exchange(std::move(head), m_body,
        { .head =
                [self = shared_from_this(), current](http_response_head head) {
                    if (current())
                        self->onHead(std::move(head));
                },
            .body =
                [self = shared_from_this(), current](const std::string& body) {
                    if (current())
                        self->onBody(body);
                },
            .completed =
                [self = shared_from_this(), current] {
                    if (current())
                        self->onCompleted();
                },
            .failed =
                [self = shared_from_this(), current](exchange_failure failure) {
                    if (current())
                        self->onFailed(failure);
                } });
}

void caller_exchange::carryOut(const wait_for_service& effect) { m_waitsUntil = effect.until; }

void caller_exchange::noteProgress()
{
    m_lastProgress = m_services.now();
    m_services.serviceProgress[m_attempt.service] = m_lastProgress;
}

// Whether any endpoint of the service sent something recently. If none did, a retry at another one would stall as well.
bool caller_exchange::othersProgress(instant now) const
{
    const auto found = m_services.serviceProgress.find(m_attempt.service);
    return found != m_services.serviceProgress.end() && now - found->second < serviceSilence;
}

void caller_exchange::onHead(http_response_head head)
{
    noteProgress();
    const response_classification reading = m_services.platform.classifyResponse(head, m_caller.sendId);
    const bool isRefusal = reading.kind == response_kind::Rejected || reading.kind == response_kind::WrongEndpoint;
    // On a kept connection this may be the refusal of an earlier request, sent once more.
    if (isRefusal && m_isConnectionKept && !reading.namesRequest)
        return rejectAnswer(response_defect::NoRequestId);
    m_retryAfter = reading.retryAfter;
    m_endsAtClose = head.bodyEndsAtClose;
    m_isEndpointLeaving = reading.leaving;
    if (reading.leaving)
        m_services.post(endpoint_leaving_announced { m_services.now(), m_attempt.endpoint });
    if (!std::holds_alternative<limit_not_stated>(reading.limit))
        m_services.post(endpoint_limit_stated { m_services.now(), m_number, reading.limit });
    switch (reading.kind) {
    case response_kind::Unmatched:
    case response_kind::Unusable:
        return rejectAnswer(reading.defect);
    case response_kind::Rejected:
        return discardAs(attempt_ending::Rejected);
    case response_kind::WrongEndpoint:
        return discardAs(attempt_ending::WrongEndpoint);
    case response_kind::UnprovenRefusal:
        m_defect = reading.defect;
        return discardAs(attempt_ending::UnprovenRefusal);
    case response_kind::Executed:
        break;
    }
    m_answer.head = m_services.platform.callerResponseHead(std::move(head));
    const bool isStream = m_attempt.isStream && m_answer.head.status < 300;
    if (m_begun && !(isStream && m_begun->mayContinueWith(m_answer.head))) {
        m_endpoint->cancel();
        return endAttempt(attempt_ending::FailureAnswer);
    }
    m_mode = isStream ? answer_mode::Streamed : answer_mode::Buffered;
}

void caller_exchange::discardAs(attempt_ending ending)
{
    m_mode = answer_mode::Discarded;
    m_discardedAs = ending;
}

void caller_exchange::rejectAnswer(response_defect defect)
{
    m_defect = defect;
    cancelAttempt();
    endAttempt(attempt_ending::InvalidAnswer);
}

void caller_exchange::onBody(const std::string& bytes)
{
    switch (m_mode) {
    case answer_mode::Streamed:
        return streamBytes(bytes);
    case answer_mode::Buffered:
        return holdBytes(bytes);
    case answer_mode::Discarded:
        m_discardedBytes += bytes.size();
        if (m_discardedBytes > maxDiscardedBytes)
            endDiscarded();
        return;
    case answer_mode::Undecided:
        return;
    }
}

void caller_exchange::holdBytes(const std::string& bytes)
{
    if (m_answer.body.size() + bytes.size() > maxHeldAnswerBytes || !hasRoomToGrow(bytes.size()))
        return rejectOversized();
    noteProgress();
    m_answer.body += bytes;
    updateCharge();
}

bool caller_exchange::hasRoomToGrow(std::size_t bytes) const { return m_services.makeRoom(bytes, m_charge.bytes() + bytes); }

void caller_exchange::rejectOversized()
{
    dropAnswer();
    m_events.dropPartial();
    rejectAnswer(response_defect::TooLarge);
}

void caller_exchange::endDiscarded()
{
    std::exchange(m_endpoint, nullptr)->cancel();
    endAttempt(m_discardedAs, m_retryAfter);
}

void caller_exchange::streamBytes(const std::string& bytes)
{
    const std::string events = m_events.appendAndExtract(bytes);
    updateCharge();
    if (m_events.partialBytes() > maxEventBytes || !hasRoomToGrow(0))
        return rejectOversized();
    if (events.empty())
        return;
    const instant now = m_services.now();
    const auto pause = m_attemptHasAnswer ? std::optional(now - m_lastProgress) : std::nullopt;
    noteProgress();
    m_services.post(stream_advanced { now, m_number, pause });
    m_attemptHasAnswer = true;
    if (!m_begun) {
        m_begun.emplace(m_answer.head);
        m_connection->beginStream(m_answer.head);
    }
    m_connection->writeStream(events);
}

void caller_exchange::onCompleted()
{
    m_services.endpoints.release(std::exchange(m_endpoint, nullptr));
    // An endpoint that leaves may end as planned after its last answer.
    if (m_endsAtClose && !m_isEndpointLeaving && m_mode != answer_mode::Discarded)
        return verifyEnd();
    concludeAnswer();
}

void caller_exchange::verifyEnd()
{
    m_services.probe(m_attempt.address, [self = shared_from_this(), number = m_attemptNumber](bool refused) {
        if (self->m_attemptNumber != number || self->m_over)
            return;
        const bool isEmptyStream = self->m_mode == answer_mode::Streamed && !self->m_attemptHasAnswer;
        if (refused || isEmptyStream)
            self->endAttempt(attempt_ending::TruncatedAnswer);
        else
            self->concludeAnswer();
    });
}

void caller_exchange::concludeAnswer()
{
    switch (m_mode) {
    case answer_mode::Discarded:
        return endAttempt(m_discardedAs, m_retryAfter);
    case answer_mode::Buffered:
        if (m_answer.head.status >= firstFailureStatus)
            return endAttempt(attempt_ending::FailureAnswer, m_retryAfter);
        respondWithAnswer();
        return answered();
    case answer_mode::Streamed:
        if (m_events.hasPartial())
            return endAttempt(attempt_ending::TruncatedAnswer);
        if (!m_begun) {
            respondWithAnswer();
            return answered();
        }
        // The attempt before broke off, so that an empty answer does not show that nothing is missing.
        if (!m_attemptHasAnswer)
            return endAttempt(attempt_ending::TruncatedAnswer);
        m_connection->finishStream();
        return answered();
    case answer_mode::Undecided:
        break;
    }
    endAttempt(attempt_ending::InvalidAnswer);
}

void caller_exchange::onFailed(exchange_failure failure)
{
    const std::shared_ptr<client_connection> endpoint = std::exchange(m_endpoint, nullptr);
    // The head alone decides that an attempt was rejected, even if the body is cut off.
    if (m_mode == answer_mode::Discarded)
        return endAttempt(m_discardedAs, m_retryAfter);
    m_defect = endpoint->defect();
    endAttempt(endingAfter(failure), {}, failure == exchange_failure::ConnectRefused);
}

void caller_exchange::endAttempt(attempt_ending ending, std::optional<duration> retryAfter, bool connectionRefused)
{
    ++m_attemptNumber;
    m_deadline = instant::max();
    m_services.post(attempt_ended { m_services.now(), m_number, ending, m_begun.has_value(), retryAfter, connectionRefused, std::exchange(m_defect, response_defect::None) });
}

void caller_exchange::answered()
{
    m_services.post(attempt_succeeded { m_services.now(), m_number });
    finish();
}

void caller_exchange::refuse(const refuse_request& effect)
{
    if (m_begun)
        m_connection->abort();
    else
        m_connection->respond(refusalAnswer(effect));
    finish();
}

void caller_exchange::respondWithAnswer()
{
    http_response answer = std::exchange(m_answer, {});
    updateCharge();
    m_connection->respond(std::move(answer));
}

void caller_exchange::passFailureAnswer()
{
    respondWithAnswer();
    finish();
}

void caller_exchange::breakAnswer()
{
    m_connection->abort();
    finish();
}

void caller_exchange::cancelAttempt()
{
    ++m_attemptNumber;
    if (m_endpoint)
        std::exchange(m_endpoint, nullptr)->cancel();
}

void caller_exchange::checkTime(instant now)
{
    if (m_over)
        return;
    if (m_waitsUntil && now >= *m_waitsUntil) {
        m_waitsUntil.reset();
        m_services.post(service_wait_ended { now, m_number });
    }
    if (!m_endpoint)
        return;
    if (now >= m_deadline) {
        m_services.post(deadline_passed { now, m_number, m_begun.has_value() });
        return;
    }
    if (m_mode == answer_mode::Discarded) {
        if (now - m_lastProgress >= maxDiscardTime)
            endDiscarded();
        return;
    }
    const duration limit = m_attemptHasAnswer ? m_attempt.eventGapTimeout : m_attempt.answerStartTimeout;
    if (limit == duration::zero() || now - m_lastProgress < limit)
        return;
    if (m_attempt.isStream && !othersProgress(now))
        return;
    if (now < m_silenceReportedAt + silenceReportInterval)
        return;
    m_silenceReportedAt = now;
    m_services.post(attempt_silent { now, m_number, m_begun.has_value() });
}

void caller_exchange::finish()
{
    m_over = true;
    cancelAttempt();
}

} // namespace appleramp
