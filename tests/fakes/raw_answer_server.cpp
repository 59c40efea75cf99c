#include "fakes/raw_answer_server.h"

#include "fakes/connection_acceptor.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <mutex>
#include <string_view>

namespace appleramp {

namespace {

constexpr auto headEnd = "\r\n\r\n";
constexpr std::string_view lengthField = "Content-Length: ";

// Reads the whole request: closing a connection with unread bytes resets it.
void readRequest(Poco::Net::StreamSocket& connection)
{
    std::string received;
    std::array<char, 4096> buffer {};
    while (true) {
        const auto end = received.find(headEnd);
        if (end != std::string::npos) {
            const auto field = received.find(lengthField);
            const auto length = field < end ? std::stoul(received.substr(field + lengthField.size())) : 0;
            if (received.size() >= end + 4 + length)
                return;
        }
        const int count = connection.receiveBytes(buffer.data(), buffer.size());
        if (count <= 0)
            return;
        received.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

} // namespace

class raw_answer_server::implementation {
public:
    implementation()
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_acceptor(m_socket, [this](auto& connection) { serve(connection); })
    {
    }

    void answerWith(std::string bytes, closing closedBy)
    {
        const std::lock_guard lock(m_mutex);
        m_answer = std::move(bytes);
        m_closing = closedBy;
    }

    Poco::Net::SocketAddress address() const { return m_socket.address(); }

private:
    void serve(Poco::Net::StreamSocket& connection)
    {
        readRequest(connection);
        const std::lock_guard lock(m_mutex);
        if (!m_answer.empty())
            connection.sendBytes(m_answer.data(), static_cast<int>(m_answer.size()));
        // With a linger time of zero, closing resets the connection.
        if (m_closing == closing::Reset)
            connection.setLinger(true, 0);
        connection.close();
    }

    Poco::Net::ServerSocket m_socket;
    std::mutex m_mutex;
    std::string m_answer;
    closing m_closing = closing::Orderly;
    connection_acceptor m_acceptor;
};

raw_answer_server::raw_answer_server()
    : m_implementation(std::make_unique<implementation>())
{
}

raw_answer_server::~raw_answer_server() = default;

void raw_answer_server::answerWith(std::string bytes, closing closedBy)
{
    m_implementation->answerWith(std::move(bytes), closedBy);
}

std::uint16_t raw_answer_server::port() const { return m_implementation->address().port(); }

std::string raw_answer_server::address() const { return m_implementation->address().toString(); }

} // namespace appleramp
