#include "schedules/issued_key_callers.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace appleramp::tests {

namespace {

constexpr int maxTries = 8;
constexpr duration resendDelay = std::chrono::milliseconds(600);
constexpr duration maxAnswerDelay = std::chrono::seconds(1);
constexpr int percentSentTwice = 30;
const service_id orders("orders");

service_request makeRequest(const std::string& order, const std::string& key, duration timeout)
{
    service_request request;
    request.service = orders;
    request.team = team_id("team-issued");
    request.key = idempotency_key(key);
    request.method = "POST";
    request.path = "/orders";
    request.body = order;
    request.contentHash = XXH64(order.data(), order.size(), 0);
    request.timeout = timeout;
    return request;
}

// Returns the outcome if the reply piece is the final one.
std::optional<execution> outcomeOf(const entry_effect& piece)
{
    if (const auto* refused = std::get_if<reply_problem>(&piece))
        return refused->answer.outcome;
    if (const auto* aborted = std::get_if<reply_aborted>(&piece))
        return aborted->answer.outcome;
    if (std::holds_alternative<reply_end>(piece))
        return execution::Completed;
    return std::nullopt;
}

} // namespace

issued_key_callers::issued_key_callers(schedule_world& world, order_book& orderBook, const issued_key_options& options)
    : m_world(world)
    , m_book(orderBook)
    , m_options(options)
{
    world.queue().runAt(options.begin, [this] { beginOrder(); });
}

void issued_key_callers::beginOrder()
{
    requestKey("issued order " + std::to_string(++m_orders), 1);
    if (m_world.queue().now() < m_options.end)
        m_world.queue().runAfter(m_options.orderEvery, [this] { beginOrder(); });
}

void issued_key_callers::requestKey(const std::string& order, int tries)
{
    if (tries > maxTries)
        return;
    const auto again = [this, order, tries] {
        m_world.queue().runAfter(resendDelay, [this, order, tries] { requestKey(order, tries + 1); });
    };
    const bool reached = m_world.post(
        randomEntry(), [](request_number number) { return keys_requested { number, orders }; },
        [this, order, again](const entry_effect& piece) {
            const auto* document = std::get_if<reply_document>(&piece);
            if (!document) {
                again();
                return;
            }
            ++m_keysGiven;
            const order_send send { order, nlohmann::json::parse(document->json).at("key").get<std::string>(), 1 };
            sendOrder(send);
            std::uniform_int_distribution<int> percent(0, 99);
            if (percent(m_world.random()) < percentSentTwice)
                sendOrder({ order, send.key, maxTries });
        });
    if (!reached)
        again();
}

void issued_key_callers::sendOrder(const order_send& send)
{
    const auto number = m_book.recordSend(send.order, send.key);
    const auto request = makeRequest(send.order, send.key, m_options.timeout);
    const auto isOver = std::make_shared<bool>(false);
    const auto finish = [this, send, number, isOver](execution outcome) {
        if (!std::exchange(*isOver, true))
            handleOutcome(send, number, outcome);
    };
    const bool reached = m_world.post(
        randomEntry(), [&request](request_number id) { return request_received { id, request }; },
        [finish](const entry_effect& piece) {
            if (const auto outcome = outcomeOf(piece))
                finish(*outcome);
        });
    if (reached)
        m_world.queue().runAfter(m_options.timeout + maxAnswerDelay, [finish] { finish(execution::Unknown); });
    else
        finish(execution::NotStarted);
}

void issued_key_callers::handleOutcome(const order_send& send, send_number number, execution outcome)
{
    m_book.recordOutcome(number, outcome);
    if (outcome == execution::Completed) {
        ++m_ordersCompleted;
        if (m_book.executions(send.order) == 0)
            m_world.broken().record("lost_order", send.order + " was said to be completed");
        return;
    }
    if (outcome == execution::NotRun) {
        requestKey(send.order, send.tries + 1);
        return;
    }
    if (send.tries >= maxTries)
        return;
    auto next = send;
    ++next.tries;
    m_world.queue().runAfter(resendDelay, [this, next] { sendOrder(next); });
}

std::size_t issued_key_callers::randomEntry()
{
    std::uniform_int_distribution<std::size_t> entry(0, m_world.entries() - 1);
    return entry(m_world.random());
}

} // namespace appleramp::tests
