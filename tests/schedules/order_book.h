#pragma once

#include "model/request.h"
#include "schedules/broken_invariants.h"

#include <map>
#include <string>
#include <vector>

namespace appleramp::tests {

using send_number = std::uint64_t;

// Records the sends of orders, the outcomes that callers got, and the executions. Checks that each order runs at most
// once and that an outcome of not_run is true. Callers may send an order with several keys, but use a new key only
// after not_run.
class order_book {
public:
    explicit order_book(broken_invariants& broken);

    send_number recordSend(const std::string& order, const std::string& key);
    void recordOutcome(send_number send, execution outcome);
    void recordExecution(const std::string& order, const std::string& key);

    std::uint64_t executions(const std::string& order) const;

private:
    struct key_history {
        std::vector<send_number> sends;
        std::uint64_t executions = 0;
        // The latest send at the time of the last not_run; a later execution must come from a later send.
        send_number lastSendAtNotRun = 0;
    };

    broken_invariants& m_broken;
    send_number m_lastSend = 0;
    std::map<send_number, std::string> m_keyOfSend;
    std::map<std::string, key_history> m_keys;
    std::map<std::string, std::uint64_t> m_executions;
};

} // namespace appleramp::tests
