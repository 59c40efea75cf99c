#include "directagent/direct_agent_process.h"

#include "datagrams/news_socket.h"
#include "http/client_pool.h"
#include "membership/member_row.h"
#include "observe/line_log.h"
#include "ports/platform_adapter.h"
#include "ports/row_store.h"
#include "runtime/process_clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace appleramp {

namespace {

// The engine's report is read this often; it is free on the engine's own machine.
constexpr duration reportInterval = std::chrono::milliseconds(100);
// An entry that has not been heard for so long is told nothing more.
constexpr duration entrySilence = std::chrono::seconds(5);
// Time between two load messages to one entry, for each entry there is: the bytes that an agent sends stay bounded.
constexpr duration loadIntervalPerEntry = std::chrono::milliseconds(12);
constexpr std::chrono::milliseconds memberRetry { 700 };
constexpr std::chrono::milliseconds reportTimeout { 1000 };

constexpr pool_settings enginePool { .connectTimeout = std::chrono::milliseconds(500),
    .silenceLimit = std::chrono::milliseconds(2000),
    .reuseWithin = std::chrono::milliseconds(3000),
    .maxIdlePerServer = 2 };

} // namespace

class direct_agent_process::implementation {
public:
    implementation(boost::asio::io_context& loop, const process_settings& settings, incarnation life, row_store& store,
        const platform_adapter& platform)
        : m_loop(loop)
        , m_settings(settings)
        , m_store(store)
        , m_platform(platform)
        , m_log({ settings.process.instance, settings.process.zone, life }, {})
        , m_engines(loop, enginePool)
        , m_news(loop, settings.listen.links.host, settings.listen.links.port,
              [this](const news& message, const boost::asio::ip::udp::endpoint& from) { onNews(message, from); })
        , m_tick(loop)
        , m_timeout(loop)
        , m_memberTimer(loop)
    {
        m_log.write(now(), "started", {}, { { "role", "direct_agent" }, { "engine", engineAddress() } });
        writeMember();
        readReport();
    }

    void requestStop()
    {
        m_log.write(now(), "stopped", {}, {});
        m_log.flush();
        m_loop.stop();
    }

private:
    static instant now() { return suspendAwareNow(); }

    std::string engineAddress() const { return m_settings.endpoint.address.str(); }

    void onNews(const news& message, const boost::asio::ip::udp::endpoint& from)
    {
        if (!std::holds_alternative<entry_presence>(message))
            return;
        const auto [entry, isNew] = m_entries.insert_or_assign(from, now());
        if (isNew)
            m_log.write(now(), "entry_heard", {}, { { "address", std::get<entry_presence>(message).callerAddress } });
    }

    void readReport()
    {
        m_body.clear();
        m_status = 0;
        m_connection = m_engines.acquire(engineAddress(), false);
        m_timeout.expires_after(reportTimeout);
        m_timeout.async_wait([this](const boost::system::error_code& cancelled) {
            if (!cancelled && m_connection) {
                std::exchange(m_connection, nullptr)->cancel();
                onReportMissing();
            }
        });
        m_connection->exchange(serializeRequest(m_platform.reportRequest(engineAddress()), {}),
            { .head = [this](const http_response_head& head) { m_status = head.status; },
                .body = [this](const std::string& bytes) { m_body += bytes; },
                .completed = [this] { onReport(); },
                .failed =
                    [this](exchange_failure) {
                        m_connection.reset();
                        onReportMissing();
                    } });
    }

    void onReport()
    {
        m_engines.release(std::exchange(m_connection, nullptr));
        const auto report = m_status == 200 ? m_platform.readReport(m_body) : std::nullopt;
        if (!report)
            return onReportMissing();
        if (!std::exchange(m_engineAnswers, true))
            m_log.write(now(), "engine_regained", {}, { { "engine", engineAddress() }, { "report", report->raw } });
        tellLoad(*report);
        scheduleNext();
    }

    void onReportMissing()
    {
        if (std::exchange(m_engineAnswers, false))
            m_log.write(now(), "engine_lost", {}, { { "engine", engineAddress() } });
        scheduleNext();
    }

    void tellLoad(const engine_report& report)
    {
        std::erase_if(m_entries, [](const auto& entry) { return now() - entry.second > entrySilence; });
        const duration interval = std::max(reportInterval, loadIntervalPerEntry * static_cast<duration::rep>(m_entries.size()));
        if (now() - m_loadTold < interval)
            return;
        m_loadTold = now();
        const endpoint_load load { engineAddress(), report.running, report.waiting, report.pace, report.groupOpen, report.step };
        for (const auto& [entry, heardAt] : m_entries)
            m_news.send(load, entry);
    }

    void scheduleNext()
    {
        m_timeout.cancel();
        m_log.flush();
        m_tick.expires_after(reportInterval);
        m_tick.async_wait([this](const boost::system::error_code& cancelled) {
            if (!cancelled)
                readReport();
        });
    }

    void writeMember()
    {
        const member_row row { false, m_settings.process.zone, m_settings.listen.links.str() };
        m_store.write({}, { { std::string(membersTable), m_settings.process.instance.str(), encodeMember(row), false } },
            [this](const store_result& result) {
                if (std::holds_alternative<store_rows>(result))
                    return;
                m_memberTimer.expires_after(memberRetry);
                m_memberTimer.async_wait([this](const boost::system::error_code& cancelled) {
                    if (!cancelled)
                        writeMember();
                });
            });
    }

    boost::asio::io_context& m_loop;
    process_settings m_settings;
    row_store& m_store;
    const platform_adapter& m_platform;
    line_log m_log;
    client_pool m_engines;
    news_socket m_news;
    boost::asio::steady_timer m_tick;
    boost::asio::steady_timer m_timeout;
    boost::asio::steady_timer m_memberTimer;
    std::map<boost::asio::ip::udp::endpoint, instant> m_entries;
    std::shared_ptr<client_connection> m_connection;
    std::string m_body;
    unsigned m_status = 0;
    bool m_engineAnswers = false;
    instant m_loadTold;
};

direct_agent_process::direct_agent_process(boost::asio::io_context& loop, const process_settings& settings, incarnation life,
    row_store& store, const platform_adapter& platform)
    : m_implementation(std::make_unique<implementation>(loop, settings, life, store, platform))
{
}

direct_agent_process::~direct_agent_process() = default;

void direct_agent_process::requestStop() { m_implementation->requestStop(); }

} // namespace appleramp
