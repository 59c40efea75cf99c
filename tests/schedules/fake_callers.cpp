#include "schedules/fake_callers.h"

#include <numeric>

#include <xxhash.h>

namespace appleramp::tests {

namespace {

constexpr int maxOrderTries = 8;
constexpr duration resendDelay = std::chrono::milliseconds(600);
// Final answers may arrive this long after the caller's timeout.
constexpr duration maxAnswerDelay = std::chrono::seconds(1);
constexpr int percentSentTwice = 15;

std::string orderOf(const service_request& request) { return request.body; }

std::string keyOf(const service_request& request)
{
    const auto& text = request.key->str();
    return text.substr(text.rfind('/') + 1);
}

std::string concatenated(const std::vector<std::string>& chunks)
{
    return std::accumulate(chunks.begin(), chunks.end(), std::string());
}

} // namespace

fake_callers::fake_callers(schedule_world& world, order_book& orders, const caller_options& options)
    : m_world(world)
    , m_book(orders)
    , m_options(options)
{
    world.onExecution([this](std::size_t /*agent*/, const service_request& request) {
        if (request.service == service_id("orders"))
            m_book.recordExecution(orderOf(request), keyOf(request));
    });
    world.onEntryDeath([this](std::size_t entry) {
        for (const auto id : std::exchange(m_openAtEntry[entry], {})) {
            if (m_open.erase(id) == 0)
                continue;
            const auto ending = m_endings.extract(id);
            ending.mapped()(execution::Unknown);
        }
    });
    world.queue().runAt(options.begin, [this] { sendPrompt(); });
    world.queue().runAt(options.begin, [this] { beginOrder(); });
}

void fake_callers::sendPrompt()
{
    auto request = makeRequest("assistant", "/v1/completions", "prompt " + std::to_string(++m_prompts));
    post(std::move(request), [this](execution outcome) {
        if (outcome == execution::Completed)
            ++m_promptsAnswered;
    });
    if (m_world.queue().now() < m_options.end)
        m_world.queue().runAfter(m_options.promptEvery, [this] { sendPrompt(); });
}

void fake_callers::beginOrder()
{
    const auto order = "order " + std::to_string(++m_orders);
    const order_send first { order, "k" + std::to_string(m_orders) + "-1", 1 };
    sendOrder(first);
    std::uniform_int_distribution<int> percent(0, 99);
    if (percent(m_world.random()) < percentSentTwice)
        sendOrder({ order, first.key, maxOrderTries });
    if (m_world.queue().now() < m_options.end)
        m_world.queue().runAfter(m_options.orderEvery, [this] { beginOrder(); });
}

void fake_callers::sendOrder(const order_send& send)
{
    auto request = makeRequest("orders", "/orders", send.order);
    request.key = idempotency_key(send.key);
    const auto number = m_book.recordSend(send.order, send.key);
    const bool reached = post(std::move(request),
        [this, send, number](execution outcome) { orderEnded(send, number, outcome); });
    if (!reached)
        orderEnded(send, number, execution::NotStarted);
}

void fake_callers::orderEnded(const order_send& send, send_number number, execution outcome)
{
    m_book.recordOutcome(number, outcome);
    if (outcome == execution::Completed) {
        ++m_ordersCompleted;
        if (m_book.executions(send.order) == 0)
            m_world.broken().record("lost_order", send.order + " was said to be completed");
        return;
    }
    if (send.tries >= maxOrderTries)
        return;
    auto next = send;
    ++next.tries;
    // A new key is allowed only after not_run: the caller then places the order again.
    if (outcome == execution::NotRun && next.tries % 2 == 0)
        next.key += "n";
    m_world.queue().runAfter(resendDelay, [this, next] { sendOrder(next); });
}

bool fake_callers::post(service_request request, const std::function<void(execution)>& done)
{
    const auto id = ++m_lastId;
    const auto entry = randomEntry();
    m_open[id] = { request, {}, false };
    m_endings[id] = done;
    m_openAtEntry[entry].insert(id);
    const bool reached = m_world.post(
        entry, [&request](request_number number) { return request_received { number, request }; },
        [this, id, done](const entry_effect& piece) { handleReplyPiece(id, piece, done); });
    if (!reached) {
        m_open.erase(id);
        m_endings.erase(id);
        return false;
    }
    m_world.queue().runAfter(m_options.timeout + maxAnswerDelay, [this, id, entry] { checkAnsweredInTime(id, entry); });
    return true;
}

void fake_callers::checkAnsweredInTime(std::uint64_t id, std::size_t entry)
{
    const auto due = m_world.entryPausedUntil(entry) + m_options.timeout + maxAnswerDelay;
    if (m_world.queue().now() < due)
        m_world.queue().runAt(due, [this, id, entry] { checkAnsweredInTime(id, entry); });
    else if (m_open.contains(id))
        m_world.broken().record("late_final_answer", m_open.at(id).request.body);
}

void fake_callers::handleReplyPiece(std::uint64_t id, const entry_effect& piece, const std::function<void(execution)>& done)
{
    const auto found = m_open.find(id);
    if (found == m_open.end()) {
        m_world.broken().record("answer_after_end", "a reply piece arrived after the final one");
        return;
    }
    auto& state = found->second;
    std::optional<execution> outcome;
    if (const auto* problem = std::get_if<reply_problem>(&piece))
        outcome = problem->answer.outcome;
    else if (const auto* aborted = std::get_if<reply_aborted>(&piece))
        outcome = aborted->answer.outcome;
    else if (const auto* data = std::get_if<reply_data>(&piece))
        state.received += data->data;
    else if (std::holds_alternative<reply_end>(piece)) {
        checkAnswerContent(state);
        outcome = execution::Completed;
    }
    if (!outcome)
        return;
    m_open.erase(found);
    m_endings.erase(id);
    done(*outcome);
}

void fake_callers::checkAnswerContent(const exchange& received)
{
    if (received.received != concatenated(expectedAnswer(received.request)))
        m_world.broken().record("foreign_or_partial_answers", received.request.body + " got: " + received.received);
}

service_request fake_callers::makeRequest(const std::string& service, const std::string& path, const std::string& body)
{
    std::uniform_int_distribution<std::size_t> team(0, m_options.teams - 1);
    service_request request;
    request.service = service_id(service);
    // Idempotency keys are scoped to a team, so all sends of an order use the same team.
    const auto teamNumber = service == "orders" ? body.size() % m_options.teams : team(m_world.random());
    request.team = team_id("team-" + std::to_string(teamNumber));
    request.method = "POST";
    request.path = path;
    request.body = body;
    request.contentHash = XXH64(body.data(), body.size(), 0);
    request.timeout = m_options.timeout;
    return request;
}

std::size_t fake_callers::randomEntry()
{
    std::uniform_int_distribution<std::size_t> entry(0, m_world.entries() - 1);
    return entry(m_world.random());
}

} // namespace appleramp::tests
