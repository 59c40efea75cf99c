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

// Callers who ask for an issued key and send their order with it, again and again under the same key until its outcome
// is known, now and then through two entries at once. The order book checks what runs.
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
    void askForKey(const std::string& order, int tries);
    void sendOrder(const order_send& send);
    void ended(const order_send& send, send_number number, execution outcome);
    std::size_t anyEntry();

    schedule_world& m_world;
    order_book& m_book;
    issued_key_options m_options;
    std::uint64_t m_orders = 0;
    std::uint64_t m_keysGiven = 0;
    std::uint64_t m_ordersCompleted = 0;
};

} // namespace appleramp::tests
