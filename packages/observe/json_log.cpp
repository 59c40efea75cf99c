#include "observe/json_log.h"

#include "observe/log_scope.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <mutex>
#include <string>

namespace appleramp {

namespace {

constexpr Poco::Timestamp::TimeDiff microsecondsPerSecond = 1'000'000;

std::string timeText(const google::LogMessageTime& time)
{
    const Poco::Timestamp stamp(time.timestamp() * microsecondsPerSecond + time.usec());
    return Poco::DateTimeFormatter::format(stamp, Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
}

std::string_view levelName(google::LogSeverity severity)
{
    switch (severity) {
    case google::GLOG_INFO:
        return "info";
    case google::GLOG_WARNING:
        return "warning";
    case google::GLOG_ERROR:
        return "error";
    default:
        return "fatal";
    }
}

void writeAll(int fileDescriptor, std::string_view text)
{
    while (!text.empty()) {
        const ssize_t written = ::write(fileDescriptor, text.data(), text.size());
        // A write error cannot be reported, since this is the log.
        if (written <= 0)
            return;
        text.remove_prefix(static_cast<std::size_t>(written));
    }
}

// Writes glog messages as JSON lines. glog calls it under its own lock, one message at a time.
class json_log_sink : public google::LogSink {
public:
    void configure(const log_identity& identity, int fileDescriptor)
    {
        const std::lock_guard lock(m_mutex);
        m_identity = identity;
        m_fileDescriptor = fileDescriptor;
    }

    using google::LogSink::send;
    void send(google::LogSeverity severity, const char*, const char* file, int line,
        const google::LogMessageTime& time, const char* message, std::size_t length) override
    {
        const std::lock_guard lock(m_mutex);
        nlohmann::ordered_json entry;
        entry["time"] = timeText(time);
        entry["level"] = levelName(severity);
        entry["message"] = std::string(message, length);
        addIdentity(entry);
        addScope(entry);
        entry["source"] = std::string(file) + ':' + std::to_string(line);
        writeAll(m_fileDescriptor, entry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n');
    }

private:
    void addIdentity(nlohmann::ordered_json& entry) const
    {
        entry["instance"] = m_identity.instance.str();
        entry["zone"] = m_identity.zone.str();
        entry["incarnation"] = m_identity.processIncarnation;
    }

    static void addScope(nlohmann::ordered_json& entry)
    {
        const log_scope* const scope = log_scope::current();
        if (!scope)
            return;
        entry["request"] = scope->requestId();
        entry["span"] = scope->span();
    }

    std::mutex m_mutex;
    log_identity m_identity;
    int m_fileDescriptor = STDERR_FILENO;
};

// Never destroyed, because glog keeps pointers to its sinks until the process ends.
json_log_sink& sink()
{
    static auto* const instance = new json_log_sink;
    return *instance;
}

int glogSeverity(log_severity severity)
{
    switch (severity) {
    case log_severity::Info:
        return google::GLOG_INFO;
    case log_severity::Warning:
        return google::GLOG_WARNING;
    case log_severity::Error:
        break;
    }
    return google::GLOG_ERROR;
}

void replaceGlogOutputs()
{
    google::InitGoogleLogging("appleramp");
    for (int severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    FLAGS_stderrthreshold = google::NUM_SEVERITIES;
    google::AddLogSink(&sink());
}

} // namespace

void installJsonLog(const log_identity& identity, log_severity minSeverity, int fileDescriptor)
{
    static std::once_flag once;
    sink().configure(identity, fileDescriptor);
    FLAGS_minloglevel = glogSeverity(minSeverity);
    std::call_once(once, replaceGlogOutputs);
}

void installJsonLog(const log_identity& identity, log_severity minSeverity) { installJsonLog(identity, minSeverity, STDERR_FILENO); }

void logInfo(std::string_view message) { LOG(INFO) << message; }

void logWarning(std::string_view message) { LOG(WARNING) << message; }

void logError(std::string_view message) { LOG(ERROR) << message; }

} // namespace appleramp
