#include "runtime/stop_signal.h"

#include <csignal>
#include <utility>

namespace appleramp {

namespace {

sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Asks for no stop; its default action would end the process with all its requests.
    sigaddset(&signals, SIGHUP);
    // Sent by the destructor to end the waiting thread when the process exits without a stop signal.
    sigaddset(&signals, SIGUSR1);
    return signals;
}

} // namespace

stop_signal::stop_signal(std::function<void()> onStop)
{
    const auto signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    m_thread = std::thread([signals, onStop = std::move(onStop)] {
        int received = 0;
        while (sigwait(&signals, &received) == 0 && received != SIGUSR1) {
            if (received != SIGHUP)
                onStop();
        }
    });
}

stop_signal::~stop_signal()
{
    pthread_kill(m_thread.native_handle(), SIGUSR1);
    m_thread.join();
}

} // namespace appleramp
