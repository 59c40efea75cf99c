#pragma once

#include "model/effects.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>

namespace appleramp {

using reply_piece = std::variant<reply_problem, reply_head, reply_data, reply_end, reply_aborted, reply_document>;

// The pieces of one reply on their way from the reducer's loop to the thread that serves the caller.
class reply_channel {
public:
    void push(reply_piece piece);
    // The next piece, or nothing if none came within the time.
    std::optional<reply_piece> pop(duration patience);

private:
    std::mutex m_mutex;
    std::condition_variable m_pushed;
    std::deque<reply_piece> m_pieces;
};

// The open channels by request number.
class reply_channels {
public:
    // A channel under a fresh number.
    std::pair<request_number, std::shared_ptr<reply_channel>> open();
    void close(request_number number);
    void deliver(request_number number, reply_piece piece);

private:
    std::mutex m_mutex;
    request_number m_last = 0;
    std::map<request_number, std::shared_ptr<reply_channel>> m_channels;
};

} // namespace appleramp
