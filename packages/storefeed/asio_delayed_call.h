#pragma once

#include "storefeed/delayed_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace appleramp {

// Timer on an event loop.
class asio_delayed_call : public delayed_call {
public:
    explicit asio_delayed_call(boost::asio::io_context& loop)
        : m_timer(loop)
    {
    }

    void callAfter(duration delay, action run) override;
    void cancel() override { m_timer.cancel(); }

private:
    boost::asio::steady_timer m_timer;
};

} // namespace appleramp
