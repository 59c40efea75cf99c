#pragma once

#include "datagrams/datagram_message.h"
#include "decisions/links/send_queue.h"

#include <string_view>

namespace appleramp {

// How a message is queued before it leaves.
struct datagram_class {
    datagram_priority priority = datagram_priority::Bulk;
    // Set for messages of which only the latest matters.
    std::string_view topic;
};

datagram_class classOf(const datagram_message& message);

} // namespace appleramp
