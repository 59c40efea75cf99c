#pragma once

#include "schedules/order_book.h"
#include "schedules/schedule_world.h"

#include <memory>
#include <string>

namespace appleramp::tests {

struct issued_key_options {
    duration orderEvery = std::chrono::milliseconds(400);
    duration timeout = std::chrono::seconds(4);
    instant begin { std::chrono::seconds(2) };
    instant end { std::chrono::seconds(16) };
};

// Callers that request an issued key and send an order with it, which they resend with the same key until the outcome
// is known; some orders are sent through two entries at once. order_book checks the executions.
class issued_key_callers {
public:
    issued_key_callers(schedule_world& world, order_book& orders, const issued_key_options& options);

    std::uint64_t keysGiven() const { return m_keysGiven; }
    std::uint64_t ordersCompleted() const { return m_ordersCompleted; }

private:
    struct order_send {
        std::string order;
        std::string key;
        int tries = 0;
    };

    void beginOrder();
    void requestKey(const std::string& order, int tries);
    void sendOrder(const order_send& send);
    void handleOutcome(const order_send& send, send_number number, execution outcome);
    std::size_t randomEntry();

    schedule_world& m_world;
    order_book& m_book;
    issued_key_options m_options;
    std::uint64_t m_orders = 0;
    std::uint64_t m_keysGiven = 0;
    std::uint64_t m_ordersCompleted = 0;
};

} // namespace appleramp::tests
