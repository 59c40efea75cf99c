#include "observe/line_log.h"

#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// A pipe that polls as writable accepts a write of this many bytes without blocking.
constexpr std::size_t maxWriteBytes = 4096;
constexpr duration rateWindow = std::chrono::seconds(1);

bool isWritable(int fileDescriptor)
{
    pollfd state { .fd = fileDescriptor, .events = POLLOUT, .revents = 0 };
    return ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

} // namespace

line_log::line_log(log_identity identity, line_log_settings settings)
    : m_identity(std::move(identity))
    , m_settings(settings)
{
}

line_log::~line_log() { flush(); }

bool line_log::admitLine(instant now, kind_rate& rate)
{
    if (now - rate.windowStart >= rateWindow) {
        rate.windowStart = now;
        rate.lines = 0;
    }
    if (rate.lines >= m_settings.maxLinesPerKindPerSecond || m_buffer.size() >= m_settings.maxPendingBytes) {
        ++rate.droppedLines;
        ++m_droppedLines;
        return false;
    }
    ++rate.lines;
    return true;
}

void line_log::write(instant now, std::string_view kind, std::string_view request, const inputs& values)
{
    auto found = m_rates.find(kind);
    if (found == m_rates.end())
        found = m_rates.emplace(kind, kind_rate {}).first;
    if (!admitLine(now, found->second))
        return;
    nlohmann::ordered_json line;
    line["at_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    line["instance"] = m_identity.instance.str();
    line["incarnation"] = m_identity.processIncarnation;
    line["what"] = kind;
    if (!request.empty())
        line["request"] = request;
    for (const auto& [name, value] : values)
        line[std::string(name)] = value;
    if (const auto droppedLines = std::exchange(found->second.droppedLines, 0); droppedLines > 0)
        line["left_out"] = droppedLines;
    m_buffer += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
}

void line_log::flush()
{
    while (!m_buffer.empty() && isWritable(m_settings.fileDescriptor)) {
        const ssize_t written = ::write(m_settings.fileDescriptor, m_buffer.data(), std::min(m_buffer.size(), maxWriteBytes));
        // A write error cannot be reported, since this is the log; the buffer stays bounded.
        if (written <= 0)
            return;
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace appleramp
