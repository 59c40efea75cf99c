#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>

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

    std::uint16_t port() const { return m_socket.address().port(); }
    std::string address() const { return m_socket.address().toString(); }

private:
    void run();
    void serve(Poco::Net::StreamSocket& connection);

    Poco::Net::ServerSocket m_socket;
    std::mutex m_mutex;
    std::string m_answer;
    closing m_closing = closing::Orderly;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace appleramp
