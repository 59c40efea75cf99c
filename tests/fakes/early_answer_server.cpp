#include "fakes/early_answer_server.h"

#include "fakes/connection_acceptor.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <cstddef>
#include <string_view>

namespace appleramp {

namespace {

constexpr int receiveBufferBytes = 16 * 1024;
constexpr std::string_view lengthField = "Content-Length: ";

} // namespace

class early_answer_server::implementation {
public:
    implementation(std::string answer, ending endsBy)
        : m_answer(std::move(answer))
        , m_ending(endsBy)
    {
        m_socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0));
        m_socket.setReceiveBufferSize(receiveBufferBytes);
        m_socket.listen();
        m_acceptor = std::make_unique<connection_acceptor>(m_socket, [this](auto& connection) { serve(connection); });
    }

    std::uint16_t port() const { return m_socket.address().port(); }

private:
    void serve(Poco::Net::StreamSocket& connection)
    {
        std::string received;
        std::size_t headEnd = std::string::npos;
        while (headEnd == std::string::npos) {
            if (read(connection, received) == 0)
                return;
            headEnd = received.find("\r\n\r\n");
        }
        const std::size_t field = received.find(lengthField);
        const std::size_t size = headEnd + 4 + std::stoul(received.substr(field + lengthField.size()));
        connection.sendBytes(m_answer.data(), static_cast<int>(m_answer.size()));
        if (m_ending == ending::ReadsOnBehindEnd || m_ending == ending::ResetBehindEnd)
            connection.shutdownSend();
        // Ends early where the client gives the connection up.
        if (m_ending == ending::ReadsOnLate)
            connection.poll(Poco::Timespan(std::chrono::microseconds(latePause).count()), Poco::Net::Socket::SELECT_ERROR);
        const bool readsOn = m_ending == ending::ReadsOn || m_ending == ending::ReadsOnBehindEnd || m_ending == ending::ReadsOnLate;
        while (readsOn && received.size() < size && read(connection, received) > 0) { }
        connection.close();
    }

    static std::size_t read(Poco::Net::StreamSocket& connection, std::string& received)
    {
        std::array<char, 4096> buffer {};
        const int count = connection.receiveBytes(buffer.data(), buffer.size());
        received.append(buffer.data(), static_cast<std::size_t>(count));
        return static_cast<std::size_t>(count);
    }

    const std::string m_answer;
    const ending m_ending;
    Poco::Net::ServerSocket m_socket;
    std::unique_ptr<connection_acceptor> m_acceptor;
};

early_answer_server::early_answer_server(std::string answer, ending endsBy)
    : m_implementation(std::make_unique<implementation>(std::move(answer), endsBy))
{
}

early_answer_server::~early_answer_server() = default;

std::uint16_t early_answer_server::port() const { return m_implementation->port(); }

} // namespace appleramp
