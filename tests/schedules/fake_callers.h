#pragma once

#include "schedules/order_book.h"
#include "schedules/schedule_world.h"

#include <set>
#include <string>

namespace appleramp::tests {

struct caller_options {
    duration promptEvery = std::chrono::milliseconds(100);
    duration orderEvery = std::chrono::milliseconds(160);
    duration timeout = std::chrono::seconds(4);
    instant begin { std::chrono::seconds(2) };
    instant end { std::chrono::seconds(16) };
    std::size_t teams = 3;
};

// Callers that send repeatable prompts, and orders that they resend until the outcome is known; some orders are sent
// through two entries at once. Checks that each answer is complete and belongs to its request, and that each request
// gets a final answer in time.
class fake_callers {
public:
    fake_callers(schedule_world& world, order_book& orders, const caller_options& options);

    std::uint64_t prompts() const { return m_prompts; }
    std::uint64_t promptsAnswered() const { return m_promptsAnswered; }
    std::uint64_t orders() const { return m_orders; }
    std::uint64_t ordersCompleted() const { return m_ordersCompleted; }

private:
    struct exchange {
        service_request request;
        std::string received;
        bool headSeen = false;
    };
    struct order_send {
        std::string order;
        std::string key;
        int tries = 0;
    };

    void sendPrompt();
    void beginOrder();
    void sendOrder(const order_send& send);
    void orderEnded(const order_send& send, send_number number, execution outcome);
    // Sends a request through a random entry and calls `done` with the outcome after the final reply piece. Returns
    // false if that entry is down.
    bool post(service_request request, const std::function<void(execution)>& done);
    void handleReplyPiece(std::uint64_t id, const entry_effect& piece, const std::function<void(execution)>& done);
    void checkAnswerContent(const exchange& received);
    // Records a violation if the request has no final answer. A paused entry reads requests only after its pause, so
    // the time limit counts from the end of the pause.
    void checkAnsweredInTime(std::uint64_t id, std::size_t entry);
    service_request makeRequest(const std::string& service, const std::string& path, const std::string& body);
    std::size_t randomEntry();

    schedule_world& m_world;
    order_book& m_book;
    caller_options m_options;
    std::map<std::uint64_t, exchange> m_open;
    std::map<std::size_t, std::set<std::uint64_t>> m_openAtEntry;
    std::map<std::uint64_t, std::function<void(execution)>> m_endings;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_prompts = 0;
    std::uint64_t m_promptsAnswered = 0;
    std::uint64_t m_orders = 0;
    std::uint64_t m_ordersCompleted = 0;
};

} // namespace appleramp::tests
