#include "storefeed/asio_delayed_call.h"

#include <utility>

namespace appleramp {

void asio_delayed_call::callAfter(duration delay, action run)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([run = std::move(run)](const boost::system::error_code& cancelled) {
        if (!cancelled)
            run();
    });
}

} // namespace appleramp
