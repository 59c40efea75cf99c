#pragma once

#include "model/request.h"
#include "schedules/broken_invariants.h"

#include <map>
#include <string>
#include <vector>

namespace appleramp::tests {

using send_number = std::uint64_t;

// Keeps what callers sent, what they were told, and what ran, and checks "at most once" and "not run is true" after
// each of these. An order may be sent under several keys, but a new key follows only upon not_run.
class order_book {
public:
    explicit order_book(broken_invariants& broken);

    send_number sent(const std::string& order, const std::string& key);
    void told(send_number send, execution outcome);
    void executed(const std::string& order, const std::string& key);

    std::uint64_t executions(const std::string& order) const;

private:
    struct key_history {
        std::vector<send_number> sends;
        std::uint64_t executions = 0;
        // Latest send when not_run was last said: whatever runs later must come of a later send.
        send_number closedAt = 0;
    };

    broken_invariants& m_broken;
    send_number m_lastSend = 0;
    std::map<send_number, std::string> m_keyOfSend;
    std::map<std::string, key_history> m_keys;
    std::map<std::string, std::uint64_t> m_executions;
};

} // namespace appleramp::tests
