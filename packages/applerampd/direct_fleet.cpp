#include "direct_fleet.h"

#include "directagent/direct_agent_process.h"
#include "directentry/direct_entry_process.h"
#include "model/errors.h"
#include "observe/json_log.h"
#include "platform/store_client.h"
#include "platform/users_platform.h"
#include "settings/settings.h"
#include "settings/settings_error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <malloc.h>

#include <csignal>
#include <functional>

namespace appleramp {

namespace {

constexpr int largeBlockBytes = 1024 * 1024;
// Setting the size above fixes this one as well, by default at a size that the work of a moment exceeds again and again.
constexpr int keptFreeBytes = 4 * 1024 * 1024;

// Large blocks go back to the system when they are freed. By default the allocator raises this size with the blocks that it sees, and
// keeps freed ones between others.
void returnLargeBlocks()
{
    ::mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    ::mallopt(M_TRIM_THRESHOLD, keptFreeBytes);
}

// Validates the settings file on SIGHUP, and returns the number of errors. Its contents apply only from the next start, but errors are
// reported now.
std::size_t validateReloadedSettings(const std::string& settingsPath)
{
    const auto problems = findSettingsErrors(settingsPath);
    for (const settings_error& problem : problems)
        logError(std::string("the next start will fail: settings file can't be used: ") + problem.what());
    if (problems.empty())
        logInfo("settings file read again; changes count from the next start");
    return problems.size();
}

void noteSettingsErrors(direct_entry_process& process, std::size_t errors) { process.noteSettingsErrors(errors); }

// Agents have no metrics; the log has the errors.
void noteSettingsErrors(direct_agent_process&, std::size_t) { }

class signal_handler {
public:
    signal_handler(boost::asio::io_context& loop, std::function<void()> onStop, std::function<void()> onReload)
        : m_signals(loop, SIGTERM, SIGINT, SIGHUP)
        , m_onStop(std::move(onStop))
        , m_onReload(std::move(onReload))
    {
        wait();
    }

private:
    void wait()
    {
        m_signals.async_wait([this](const boost::system::error_code& cancelled, int received) {
            if (cancelled)
                return;
            received == SIGHUP ? m_onReload() : m_onStop();
            wait();
        });
    }

    boost::asio::signal_set m_signals;
    std::function<void()> m_onStop;
    std::function<void()> m_onReload;
};

template <typename Process>
void run(const process_settings& settings, incarnation life, const std::string& settingsPath)
{
    // One thread runs the loop, so asio may omit its locks.
    boost::asio::io_context loop(1);
    users_platform::store_client store(loop, settings.store.address.str());
    const users_platform::platform platform;
    Process process(loop, settings, life, store, platform);
    const auto onReload = [&process, &settingsPath] { noteSettingsErrors(process, validateReloadedSettings(settingsPath)); };
    const signal_handler signals(
        loop, [&process] { process.requestStop(); }, onReload);
    loop.run();
}

} // namespace

void runDirectProcess(const process_settings& settings, incarnation life, const std::string& settingsPath)
{
    std::signal(SIGPIPE, SIG_IGN);
    returnLargeBlocks();
    if (settings.process.role == process_role::DirectEntry)
        run<direct_entry_process>(settings, life, settingsPath);
    else
        run<direct_agent_process>(settings, life, settingsPath);
}

} // namespace appleramp
