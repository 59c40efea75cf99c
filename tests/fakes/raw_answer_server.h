#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace appleramp {

// A server on loopback that answers one request per connection with given bytes, whether or not they are a whole HTTP
// answer, and closes the connection.
class raw_answer_server {
public:
    enum class closing {
        Orderly,
        Reset,
    };

    raw_answer_server();
    ~raw_answer_server();
    raw_answer_server(const raw_answer_server&) = delete;
    raw_answer_server& operator=(const raw_answer_server&) = delete;

    // Applies to the requests that arrive from now on.
    void answerWith(std::string bytes, closing closedBy);

    std::uint16_t port() const;
    // Numeric host and port.
    std::string address() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
