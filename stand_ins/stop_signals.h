#pragma once

#include <csignal>

namespace appleramp::stand_ins {

// SIGTERM and SIGINT, which end a stand-in. Made before threads start, so that only wait() takes them.
class stop_signals {
public:
    stop_signals()
    {
        sigemptyset(&m_signals);
        sigaddset(&m_signals, SIGTERM);
        sigaddset(&m_signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
    }

    void wait() const
    {
        int received = 0;
        sigwait(&m_signals, &received);
    }

private:
    sigset_t m_signals {};
};

} // namespace appleramp::stand_ins
