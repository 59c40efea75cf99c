#pragma once

#include "stand_ins/engine_host.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace appleramp::stand_ins {

struct plain_service_options {
    engine_host_options host;
    // How long an order takes before it takes effect.
    std::chrono::milliseconds workTime {};
};

// A plain service whose orders may not be repeated: every POST /orders takes effect anew, whatever its key, and is
// counted by its Idempotency-Key. GET /availability is idempotent; GET /orders/executions shows the counts.
class plain_service {
public:
    explicit plain_service(const plain_service_options& options);

    engine_host& host() { return m_host; }

    std::uint64_t executions(const std::string& key) const;
    std::uint64_t executions() const;

private:
    void work(engine_exchange& exchange);
    void placeOrder(engine_exchange& exchange);
    void answerExecutions(engine_exchange& exchange) const;

    const plain_service_options m_options;
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_executionsByKey;
    std::uint64_t m_executions = 0;
    engine_host m_host;
};

} // namespace appleramp::stand_ins
