#include "http/connection_probe.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace appleramp {

namespace {

// Pending operations keep the probe alive.
class connection_probe : public std::enable_shared_from_this<connection_probe> {
public:
    connection_probe(boost::asio::io_context& loop, std::function<void(bool refused)> done)
        : m_socket(loop)
        , m_timer(loop)
        , m_done(std::move(done))
    {
    }

    void start(const boost::asio::ip::tcp::endpoint& server, std::chrono::milliseconds timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& cancelled) {
            if (!cancelled)
                self->finish(false);
        });
        m_socket.async_connect(server, [self = shared_from_this()](const boost::system::error_code& failure) {
            self->finish(failure == boost::asio::error::connection_refused);
        });
    }

private:
    void finish(bool refused)
    {
        if (!m_done)
            return;
        m_timer.cancel();
        boost::system::error_code ignored; // There is no further cleanup if closing fails.
        m_socket.close(ignored);
        std::exchange(m_done, nullptr)(refused);
    }

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::function<void(bool refused)> m_done;
};

} // namespace

void probeConnection(boost::asio::io_context& loop, const boost::asio::ip::tcp::endpoint& server, std::chrono::milliseconds timeout,
    std::function<void(bool refused)> done)
{
    std::make_shared<connection_probe>(loop, std::move(done))->start(server, timeout);
}

} // namespace appleramp
