#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace appleramp {

// A server on loopback that answers requests once it has read their heads, and closes the connection. Its receive buffer is small, so
// that a long request is still being written at that time.
class early_answer_server {
public:
    enum class ending {
        // Reads the request to its end, and closes then.
        ReadsOn,
        // The same after a pause of latePause.
        ReadsOnLate,
        // Ends its side of the connection behind the answer, reads the request to its end, and closes then.
        ReadsOnBehindEnd,
        // Closes the connection with the request unread, which resets it.
        Reset,
        // Ends its side of the connection behind the answer, and closes it with the request unread.
        ResetBehindEnd,
    };

    static constexpr std::chrono::milliseconds latePause { 1200 };

    early_answer_server(std::string answer, ending endsBy);
    ~early_answer_server();
    early_answer_server(const early_answer_server&) = delete;
    early_answer_server& operator=(const early_answer_server&) = delete;

    std::uint16_t port() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
