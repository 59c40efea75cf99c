#pragma once

#include "model/time.h"
#include "observe/json_log.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace appleramp {

struct line_log_settings {
    int fileDescriptor = 1;
    // Further lines of the kind within the same second are dropped and counted.
    std::uint32_t maxLinesPerKindPerSecond = 200;
    // Size from which the buffer of unwritten lines counts as full. While it is, new lines are dropped and counted.
    std::size_t maxPendingBytes = 256UL * 1024;
};

// Writes decisions as JSON lines, with bounded rate and memory, and never blocks on a slow reader.
//
// The next line of a kind that is written carries the number of lines of this kind that were dropped before it.
class line_log {
public:
    using inputs = std::vector<std::pair<std::string_view, std::string>>;

    line_log(log_identity identity, line_log_settings settings);
    ~line_log();
    line_log(const line_log&) = delete;
    line_log& operator=(const line_log&) = delete;

    // Buffers a line. The request id may be empty and is then omitted.
    void write(instant now, std::string_view kind, std::string_view request, const inputs& values);
    // Writes buffered lines as far as the file descriptor accepts them without blocking.
    void flush();
    // Number of lines of all kinds dropped since the start.
    std::uint64_t leftOut() const { return m_droppedLines; }

private:
    struct kind_rate {
        instant windowStart;
        std::uint32_t lines = 0;
        std::uint64_t droppedLines = 0;
    };

    bool admitLine(instant now, kind_rate& rate);

    log_identity m_identity;
    line_log_settings m_settings;
    std::map<std::string, kind_rate, std::less<>> m_rates;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
};

} // namespace appleramp
