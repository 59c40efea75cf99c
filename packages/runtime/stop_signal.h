#pragma once

#include <functional>
#include <thread>

namespace appleramp {

// Calls a function on a separate thread when the process receives SIGTERM or SIGINT; SIGHUP is ignored. Construct it before
// any other thread starts: it blocks the signals in the calling thread, and only threads started later inherit that.
class stop_signal {
public:
    explicit stop_signal(std::function<void()> onStop);
    ~stop_signal();
    stop_signal(const stop_signal&) = delete;
    stop_signal& operator=(const stop_signal&) = delete;

private:
    std::thread m_thread;
};

} // namespace appleramp
