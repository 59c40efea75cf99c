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

// A queue that passes the pieces of one reply from the reducer's loop to the thread that serves the caller. Thread-safe.
class reply_channel {
public:
    void push(reply_piece piece);
    // Removes the next piece. Returns nullopt if none arrives within the timeout.
    std::optional<reply_piece> pop(duration timeout);

private:
    std::mutex m_mutex;
    std::condition_variable m_pushed;
    std::deque<reply_piece> m_pieces;
};

// Assigns request numbers and maps them to the open reply channels. Thread-safe.
class reply_channels {
public:
    // Opens a channel under a new request number.
    std::pair<request_number, std::shared_ptr<reply_channel>> open();
    void close(request_number number);
    // Pushes the piece to the request's channel. Drops it if the channel has been closed.
    void deliver(request_number number, reply_piece piece);
    // Gives this answer to all requests that wait for one, and to those that come. For use once no reducer answers.
    void refuseAll(const problem& answer);

private:
    std::mutex m_mutex;
    request_number m_lastNumber = 0;
    std::optional<problem> m_refusal;
    std::map<request_number, std::shared_ptr<reply_channel>> m_channels;
};

} // namespace appleramp
